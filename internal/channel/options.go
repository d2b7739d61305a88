package channel

import (
	"time"

	"brasswell/internal/operator"
)

// Options are an operator's settings for channels.
type Options struct {
	Enabled bool // the operator file has the section

	MaxChannels       int // open at one time
	MaxTenantChannels int // of one tenant; 0 for no limit
	Memory            int64
	// SocketBuffer is the size of the kernel's buffers for each socket and direction. They hold the messages for a slow
	// reader.
	SocketBuffer int64
	Rate         float64 // upgrades admitted in a second
	NodeRate     float64 // upgrades a second to one warm server
	MaxWait      time.Duration
	KeyFile      string // the path of the file with the key that seals tickets; "" for a random key of this process

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

// DefaultOptions returns the values of the keys that the section omits.
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
		Doc:     "WebSocket channels, which are opened like a request of an idempotent class (effect free) and then relayed frame by frame.",
		Absent:  "requests for a channel are refused.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.Int("most", &o.MaxChannels, 1, 1<<20, "How many channels may be open at one time. Each uses two sockets, of which the process's limit must leave enough for requests."),
			operator.Int("tenant", &o.MaxTenantChannels, 0, 1<<20, "How many of them one tenant may have, and all callers without a known tenant together. 0 sets no limit."),
			operator.Size("memory", &o.Memory, 64<<10, 1<<40, "How much memory all channels together may use for messages in transit. Senders wait while it is used up."),
			operator.Size("socket_buffer", &o.SocketBuffer, 4<<10, 16<<20, "The size of the kernel's buffer for each socket and direction of a channel. An idle channel uses none of it."),
			operator.Float("rate", &o.Rate, 0.1, 1e6, "How many channels may be opened per second, over all servers. Further callers are refused with a time to retry."),
			operator.Float("node_rate", &o.NodeRate, 0.1, 1e6, "How many channels per second may be opened to one warm server; a cold one gets its share of that."),
			operator.Duration("most_wait", &o.MaxWait, time.Second, 10*time.Minute, "The longest wait for which a refused caller gets a slot in the queue; twice as long once it has been refused before."),
			operator.Path("key", &o.KeyFile, "A file with the key that seals callers' slots in the queue, the same for all proxies that they may reach. Empty for a random key of this process."),
			operator.Duration("move_window", &o.MoveWindow, 100*time.Millisecond, time.Hour, "The time over which the channels of a draining server are asked to close. It should be shorter than the time for which servers keep running after their drain notice."),
			operator.Duration("restart_window", &o.RestartWindow, 0, time.Minute, "The time over which all channels are asked to close once this process is shutting down."),
			operator.Duration("close_timeout", &o.CloseTimeout, 50*time.Millisecond, time.Minute, "How long a peer (the caller or the server) may leave a Close unanswered."),
			operator.Duration("write_timeout", &o.WriteTimeout, 100*time.Millisecond, time.Hour, "How long a peer may accept none of the data that waits for it. A slow peer that makes progress is not disconnected."),
			operator.Duration("ping_every", &o.PingEvery, 100*time.Millisecond, time.Hour, "How long a peer may send nothing before it gets a ping."),
			operator.Duration("pong_timeout", &o.PongTimeout, 100*time.Millisecond, time.Hour, "How long a peer may take to answer a ping."),
			operator.Duration("idle_timeout", &o.IdleTimeout, 0, 30*24*time.Hour, "How long a channel may carry no message before it is closed. 0 keeps it open as long as both peers are alive."),
			operator.Duration("frame_grace", &o.FrameGrace, 100*time.Millisecond, time.Hour, "How long a frame may take after it has begun, in addition to the time that frame_rate allows."),
			operator.Size("frame_rate", &o.MinFrameRate, 1, 1<<30, "How much of such a frame must arrive per second, on average."),
			operator.Size("max_message", &o.MaxMessage, 1, 1<<40, "The maximum size of a message, over all its fragments and as sent; a longer one closes the channel with status 1009."),
			operator.Bool("check_utf8", &o.CheckUTF8, "Whether all text is checked for valid UTF-8. Otherwise only that of channels whose peers request it (X-Channel-Check: utf8) is."),
		},
		Check: func() []operator.Problem {
			if o.MaxTenantChannels > o.MaxChannels {
				return []operator.Problem{{Key: "tenant", Text: "above most, so it has no effect; lower it"}}
			}
			if o.PongTimeout < o.WriteTimeout/stallSteps {
				return []operator.Problem{{Key: "pong_timeout", Text: "under a quarter of write_timeout (" + o.WriteTimeout.String() +
					"), so a slow end that makes progress could be taken for dead; raise it or lower write_timeout"}}
			}
			return nil
		},
	}
}
