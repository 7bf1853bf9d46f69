package node

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	// minCompressedSize is the size from which frames to entries are compressed, in bytes:
	// below a packet nothing is won.
	minCompressedSize = 1200
	// maxDecompressedSize bounds what a compressed frame may hold, in bytes.
	maxDecompressedSize = 64 << 20
	// Frames that are sent to many are compressed well, others fast.
	compressDefault, compressFast = flate.DefaultCompression, flate.BestSpeed
)

// compressors keeps what compresses, by level: each takes some 0.6 MB to make.
var compressors = map[int]*sync.Pool{compressDefault: newCompressorPool(compressDefault), compressFast: newCompressorPool(compressFast)}

func newCompressorPool(level int) *sync.Pool {
	return &sync.Pool{New: func() any {
		w, _ := flate.NewWriter(nil, level) // fails for unknown levels alone
		return w
	}}
}

// compressFrame returns a frame as it travels over the small links of entries: compressed
// where it is large.
func compressFrame(frame *wire.Frame, level int) *wire.Frame {
	if proto.Size(frame) < minCompressedSize {
		return frame
	}
	raw, err := proto.Marshal(frame)
	if err != nil {
		return frame // whoever sends it meets the error again
	}
	var out bytes.Buffer
	w := compressors[level].Get().(*flate.Writer)
	defer compressors[level].Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return frame
	}
	if err := w.Close(); err != nil {
		return frame
	}
	return &wire.Frame{Body: &wire.Frame_Packed{Packed: out.Bytes()}}
}

// decompressFrame returns the frame that was sent. An error is of kind Internal: the other
// end sent what is none.
func decompressFrame(frame *wire.Frame) (*wire.Frame, error) {
	packed := frame.GetPacked()
	if packed == nil {
		return frame, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedSize))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	inner := &wire.Frame{}
	if err := proto.Unmarshal(raw, inner); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	return inner, nil
}
