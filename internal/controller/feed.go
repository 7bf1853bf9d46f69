package controller

import "oxbowsaddle/internal/wire"

// chunkBytes bounds the part of a snapshot, and the log entries, that one
// answer to a beat carries.
const chunkBytes = 48 << 10

// Feed brings an entry forward: by the log entries that it lacks or, where
// the log no longer holds them, by a snapshot in chunks.
type Feed struct {
	// Entries returns committed entries from an index on, and false where the
	// log begins after it.
	Entries func(from uint64, maxBytes int) ([]*wire.LogEntry, bool)
	// Snapshot returns the whole state and its index; the same bytes as long
	// as the index is the same.
	Snapshot func() (uint64, []byte, error)
}

// Fill adds to a reply what the sender of the request lacks.
func (f Feed) Fill(reply *wire.BeatReply, r *wire.BeatRequest) error {
	entries, ok := f.Entries(r.Applied+1, chunkBytes)
	if ok {
		reply.Entries = entries
		return nil
	}
	index, data, err := f.Snapshot()
	if err != nil {
		return err
	}
	offset := uint64(0)
	if r.ChunkIndex == index && r.ChunkOffset < uint64(len(data)) {
		offset = r.ChunkOffset
	}
	end := min(offset+chunkBytes, uint64(len(data)))
	reply.Snapshot = &wire.Snapshot{Index: index, Term: reply.Term, State: data[offset:end], Offset: offset, Total: uint64(len(data))}
	return nil
}
