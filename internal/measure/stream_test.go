package measure

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// grantingServer grants each demand at once.
type grantingServer struct {
	v1.DRPCSchedulingUnimplementedServer
}

func (*grantingServer) Connect(stream v1.DRPCScheduling_ConnectStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		out := &v1.SchedulerBatch{}
		for _, d := range batch.Demands {
			out.Grants = append(out.Grants, &v1.Grant{Seq: d.Seq, Target: 7, Estimate: meanCost})
		}
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

// BenchmarkStream measures a demand and its grant over a drpc stream on loopback. It reports
// the processor time of both ends together.
func BenchmarkStream(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := drpcmux.New()
	if err := v1.DRPCRegisterScheduling(mux, &grantingServer{}); err != nil {
		b.Fatal(err)
	}
	ctx := b.Context()
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener) }()
	stream := connect(ctx, b, listener.Addr().String())
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		batch := &v1.EntryBatch{Demands: []*v1.Demand{{Seq: 1 << 20, Pool: 1 << 30, Workspace: 1 << 30, WaitMs: 10000, Prefix: 1 << 30, BodyBytes: 9000}}}
		if err := stream.Send(batch); err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// connect opens a scheduling stream to the address.
func connect(ctx context.Context, b *testing.B, address string) v1.DRPCScheduling_ConnectClient {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	stream, err := v1.NewDRPCSchedulingClient(drpcconn.New(conn)).Connect(ctx)
	if err != nil {
		b.Fatal(err)
	}
	return stream
}

// processorTime returns the user and system time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
