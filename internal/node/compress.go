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
	// minCompressedSize is the size in bytes from which frames are compressed. A frame that
	// fits into one packet gains nothing.
	minCompressedSize = 1200
	// maxDecompressedSize bounds the size of a decompressed frame in bytes.
	maxDecompressedSize = 64 << 20
	// Compression levels: the default one for frames that are sent to many entries, the fast
	// one for others.
	compressDefault, compressFast = flate.DefaultCompression, flate.BestSpeed
)

// compressors pools compressors by level, since each allocates large buffers.
var compressors = map[int]*sync.Pool{compressDefault: newCompressorPool(compressDefault), compressFast: newCompressorPool(compressFast)}

func newCompressorPool(level int) *sync.Pool {
	return &sync.Pool{New: func() any {
		w, _ := flate.NewWriter(nil, level) // fails only for invalid levels
		return w
	}}
}

// compressFrame compresses a frame unless it is small.
func compressFrame(frame *wire.Frame, level int) *wire.Frame {
	if proto.Size(frame) < minCompressedSize {
		return frame
	}
	raw, err := proto.Marshal(frame)
	if err != nil {
		return frame // sending it returns the same error
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

// decompressFrame returns the original of a frame that may be compressed. The error is of
// kind Internal.
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
