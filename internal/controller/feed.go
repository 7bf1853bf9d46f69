package controller

import "oxbowsaddle/internal/wire"

// chunkBytes bounds the log entries, or the part of a snapshot, in one reply to a
// heartbeat.
const chunkBytes = 48 << 10

// Feed sends an entry the log entries that it lacks or, if the log has been
// compacted, a snapshot in chunks.
type Feed struct {
	// Entries returns committed log entries starting at an index, or false if the
	// log has been compacted beyond it.
	Entries func(from uint64, maxBytes int) ([]*wire.LogEntry, bool)
	// Snapshot returns the whole state and its index. It must return the same bytes
	// for the same index, since chunks are taken from several calls.
	Snapshot func() (uint64, []byte, error)
}

// Fill adds to reply the log entries or the snapshot chunk that the sender of r needs
// next.
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
