package node

import (
	"slices"
	"sync"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/wire"
)

// maxKeptDocuments is how many versions are remembered to send only what
// differs: an entry that is further behind is sent the whole.
const maxKeptDocuments = 8

// publishedState is what entries are told of the document: the one in force, which
// is the last of documents, before it some that entries may still hold, and
// whether it is confirmed; and of evacuations, as of the same place in the log.
// Each frame about the document tells of both, so that no entry has a document
// in force without the evacuations that were acknowledged before it. It is not
// changed once made, but for the frames, which are made when the first entry asks
// for them.
type publishedState struct {
	documents   []*document.Document
	evacuations *evacuation.Set
	confirmed   bool
	frames      sync.Map // *wire.Frame by the version that an entry holds
}

// document returns the one in force, nil where there is none.
func (p *publishedState) document() *document.Document {
	if len(p.documents) == 0 {
		return nil
	}
	return p.documents[len(p.documents)-1]
}

// frame returns what an entry that holds a version is sent. It is made once
// for all of them.
func (p *publishedState) frame(held uint64) *wire.Frame {
	base := p.find(held)
	if base == nil {
		held = 0
	}
	if f, ok := p.frames.Load(held); ok {
		return f.(*wire.Frame)
	}
	message := p.document().Frame(base, p.confirmed)
	message.Evacuations = p.evacuations.Message()
	uncompressed := &wire.Frame{Body: &wire.Frame_Document{Document: message}}
	f, _ := p.frames.LoadOrStore(held, compressFrame(uncompressed, compressDefault))
	return f.(*wire.Frame)
}

// find returns a remembered version, nil where it is not.
func (p *publishedState) find(version uint64) *document.Document {
	for _, d := range p.documents {
		if d.Version() == version {
			return d
		}
	}
	return nil
}

// offer returns the frame that offers the document in force.
func (p *publishedState) offer() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Offer{Offer: &wire.DocumentOffer{
		Version: p.document().Version(), Confirmed: p.confirmed, Evacuations: p.evacuations.Message(),
	}}}
}

// with returns what is told once a document and evacuations are in force: the same
// where neither is newer and nothing else changes.
func (p *publishedState) with(doc *document.Document, evacuations *evacuation.Set, confirmed bool) *publishedState {
	last := p.document()
	newer := doc != nil && (last == nil || doc.Version() > last.Version())
	evacuationsChanged := evacuations.Revision() > p.evacuations.Revision()
	if !newer && !evacuationsChanged && confirmed == p.confirmed {
		return p
	}
	next := &publishedState{documents: p.documents, evacuations: p.evacuations, confirmed: confirmed}
	if evacuationsChanged {
		next.evacuations = evacuations
	}
	if newer {
		next.documents = append(slices.Clone(p.documents), doc)
		next.documents = next.documents[max(0, len(next.documents)-maxKeptDocuments):]
	}
	return next
}
