package node

import (
	"slices"
	"sync"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/wire"
)

// maxKeptDocuments bounds the document versions that are kept to send only differences. An
// entry that lags further behind receives the whole document.
const maxKeptDocuments = 8

// publishedState is the state of the replicated log that is sent to entries. The last of
// documents is the one in force; the others are earlier versions that entries may still have.
// confirmed is whether the document in force is known to be current. evacuations is as of the
// same log index: each frame with a document contains both, so that no entry applies a document
// without the evacuations acknowledged before it. A publishedState is immutable, except that
// frames is filled on demand.
type publishedState struct {
	documents   []*document.Document
	evacuations *evacuation.Set
	confirmed   bool
	frames      sync.Map // *wire.Frame by the version that the entry has
}

// document returns the document in force, nil if there is none.
func (p *publishedState) document() *document.Document {
	if len(p.documents) == 0 {
		return nil
	}
	return p.documents[len(p.documents)-1]
}

// frame returns the document frame for an entry that has the version held. It is encoded only
// once.
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

// find returns the kept document of a version, nil if there is none.
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

// with returns the state after a document and evacuations have come into force. It returns p
// itself if nothing has changed.
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
