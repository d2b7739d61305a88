package channel

import (
	"time"

	"brasswell/internal/operator"
)

// Options are what an operator may set about channels.
type Options struct {
	Enabled bool // the file has the section

	MaxChannels       int // channels open at one time
	MaxTenantChannels int // of one tenant; 0 for no bound
	Memory            int64
	// SocketBuffer is the size of the kernel's buffers for each socket and direction. A slow reader's messages
	// stand there.
	SocketBuffer int64
	Rate         float64 // upgrades let in a second
	NodeRate     float64 // upgrades a second to one warm server
	MaxWait      time.Duration
	KeyFile      string // a file with the key that seals tickets; "" for one drawn at the start

	MoveWindow    time.Duration
	RestartWindow time.Duration
	CloseTimeout  time.Duration
	WriteTimeout  time.Duration
	PingEvery     time.Duration
	PongTimeout   time.Duration
	IdleTimeout   time.Duration
	FrameGrace    time.Duration
	MinFrameRate  int64
	MaxMessage    int64
	CheckUTF8     bool
}

// DefaultOptions hold where the file has the section and leaves a key out.
func DefaultOptions() Options {
	return Options{
		MaxChannels: 1000, Memory: 16 << 20, SocketBuffer: 64 << 10, Rate: 200, NodeRate: 50, MaxWait: time.Minute,
		MoveWindow: 20 * time.Second, RestartWindow: 2 * time.Second, CloseTimeout: 2 * time.Second,
		WriteTimeout: 10 * time.Second, PingEvery: 30 * time.Second, PongTimeout: 10 * time.Second,
		FrameGrace: 10 * time.Second, MinFrameRate: 4 << 10, MaxMessage: 1 << 20,
	}
}

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:    "channels",
		Doc:     "WebSocket channels, which are opened like a request of a free class and then relayed frame by frame.",
		Absent:  "requests for a channel are turned away.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.Int("most", &o.MaxChannels, 1, 1<<20, "How many channels may be open at one time. Each takes two sockets, which the limit must leave to requests."),
			operator.Int("tenant", &o.MaxTenantChannels, 0, 1<<20, "How many of them one tenant may have, and all callers of no known tenant together. 0 sets no bound."),
			operator.Size("memory", &o.Memory, 64<<10, 1<<40, "What all channels together may hold of messages on their way. Senders wait where it is used up."),
			operator.Size("socket_buffer", &o.SocketBuffer, 4<<10, 16<<20, "What the kernel may hold for each socket and direction of a channel. A quiet channel takes none of it."),
			operator.Float("rate", &o.Rate, 0.1, 1e6, "How many channels may be opened in a second, over all servers. Others are told when to come again."),
			operator.Float("node_rate", &o.NodeRate, 0.1, 1e6, "How many a second may go to one warm server; a cold one takes its share of that."),
			operator.Duration("most_wait", &o.MaxWait, time.Second, 10*time.Minute, "The longest that a caller is sent away for with a place in the line."),
			operator.Path("key", &o.KeyFile, "A file with the key that seals callers' places in the line, the same for all proxies that they may come to. Empty for a key of this process's own."),
			operator.Duration("move_window", &o.MoveWindow, 100*time.Millisecond, time.Hour, "Over which the channels of a server that drains are told to go. Shorter than servers live on after notice."),
			operator.Duration("restart_window", &o.RestartWindow, 0, time.Minute, "The same for all channels once this process is told to end."),
			operator.Duration("close_timeout", &o.CloseTimeout, 50*time.Millisecond, time.Minute, "How long an end may leave a Close unanswered."),
			operator.Duration("write_timeout", &o.WriteTimeout, 100*time.Millisecond, time.Hour, "How long an end may take nothing of what waits for it. One that is slow and moves is waited for."),
			operator.Duration("ping_every", &o.PingEvery, 100*time.Millisecond, time.Hour, "After how long without a byte an end is asked whether it lives."),
			operator.Duration("pong_timeout", &o.PongTimeout, 100*time.Millisecond, time.Hour, "How long it may take to answer."),
			operator.Duration("idle_timeout", &o.IdleTimeout, 0, 30*24*time.Hour, "After how long without a message a channel ends. 0 keeps it as long as both ends live."),
			operator.Duration("frame_grace", &o.FrameGrace, 100*time.Millisecond, time.Hour, "How long a frame that has begun may take beyond what frame_rate allows."),
			operator.Size("frame_rate", &o.MinFrameRate, 1, 1<<30, "How much of such a frame must come in a second, on the whole."),
			operator.Size("max_message", &o.MaxMessage, 1, 1<<40, "The longest message, over all its fragments and as sent; longer ones end the channel with 1009."),
			operator.Bool("check_utf8", &o.CheckUTF8, "Whether all text is checked. Without it, that of channels whose ends ask for it (X-Channel-Check: utf8) is."),
		},
		Check: func() []operator.Problem {
			if o.MaxTenantChannels > o.MaxChannels {
				return []operator.Problem{{Key: "tenant", Text: "above most, so it would never count; lower it"}}
			}
			if o.PongTimeout < o.WriteTimeout/pushSteps {
				return []operator.Problem{{Key: "pong_timeout", Text: "under a quarter of write_timeout (" + o.WriteTimeout.String() +
					"), so an end that is slow and moves would pass for dead; raise it or lower write_timeout"}}
			}
			return nil
		},
	}
}
