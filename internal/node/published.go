package node

import (
	"slices"
	"sync"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/wire"
)

// documentsKept is how many versions are remembered to send only what
// differs: an entry that is further behind is sent the whole.
const documentsKept = 8

// published is what entries are told of the document: the one in force, which
// is the last of documents, before it some that entries may still hold, and
// whether it is confirmed; and of evacuations, as of the same place in the log.
// Each frame about the document tells of both, so that no entry has a document
// in force without the evacuations that were acknowledged before it. It is not
// changed once made, but for the frames, which are made when the first entry asks
// for them.
type published struct {
	documents   []*document.Document
	evacuations *evacuation.Set
	confirmed   bool
	frames      sync.Map // *wire.Frame by the version that an entry holds
}

// document returns the one in force, nil where there is none.
func (p *published) document() *document.Document {
	if len(p.documents) == 0 {
		return nil
	}
	return p.documents[len(p.documents)-1]
}

// frame returns what an entry that holds a version is sent. It is made once
// for all of them.
func (p *published) frame(held uint64) *wire.Frame {
	base := p.find(held)
	if base == nil {
		held = 0
	}
	if f, ok := p.frames.Load(held); ok {
		return f.(*wire.Frame)
	}
	told := p.document().Frame(base, p.confirmed)
	told.Evacuations = p.evacuations.Message()
	made := &wire.Frame{Body: &wire.Frame_Document{Document: told}}
	f, _ := p.frames.LoadOrStore(held, pack(made, packWell))
	return f.(*wire.Frame)
}

// find returns a remembered version, nil where it is not.
func (p *published) find(version uint64) *document.Document {
	for _, d := range p.documents {
		if d.Version() == version {
			return d
		}
	}
	return nil
}

// offer returns the frame that offers the document in force.
func (p *published) offer() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Offer{Offer: &wire.DocumentOffer{
		Version: p.document().Version(), Confirmed: p.confirmed, Evacuations: p.evacuations.Message(),
	}}}
}

// with returns what is told once a document and evacuations are in force: the same
// where neither is newer and nothing else changes.
func (p *published) with(doc *document.Document, evacuations *evacuation.Set, confirmed bool) *published {
	last := p.document()
	newer := doc != nil && (last == nil || doc.Version() > last.Version())
	ordered := evacuations.Revision() > p.evacuations.Revision()
	if !newer && !ordered && confirmed == p.confirmed {
		return p
	}
	next := &published{documents: p.documents, evacuations: p.evacuations, confirmed: confirmed}
	if ordered {
		next.evacuations = evacuations
	}
	if newer {
		next.documents = append(slices.Clone(p.documents), doc)
		next.documents = next.documents[max(0, len(next.documents)-documentsKept):]
	}
	return next
}
