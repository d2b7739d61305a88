package proxy

import (
	"fmt"

	"brasswell/internal/channel"
)

const (
	// A channel has a socket on each side. bytesPerChannel is the memory that an idle channel uses
	// (docs/measurements/channels.md).
	socketsPerChannel, bytesPerChannel = 2, 12 << 10
	// channelShare is the largest share of the sockets, and of the memory, that channels may use. The rest is for requests.
	channelShare = 0.8
)

func channelMemory(o *channel.Options) int64 {
	return o.Memory + bytesPerChannel*int64(o.MaxChannels)
}

// checkChannelLimits returns an error if the limits of channels would leave too few sockets or too little memory for
// requests.
func checkChannelLimits(c *Config, sockets float64) error {
	o := &c.Options.Channels
	if maxChannels := channelShare * sockets / socketsPerChannel; float64(o.MaxChannels) > maxChannels {
		return fmt.Errorf("channels: most: %d channels take %d sockets, and the limit of %d leaves them %d; set it to %d or less",
			o.MaxChannels, socketsPerChannel*o.MaxChannels, c.Sockets, int(channelShare*sockets), int(maxChannels))
	}
	if maxMemory := int64(channelShare * float64(c.Memory)); channelMemory(o) > maxMemory {
		return fmt.Errorf("channels: memory: %d bytes, and %d for each of %d channels, are over the %d that the limit leaves them; lower memory or most",
			o.Memory, bytesPerChannel, o.MaxChannels, maxMemory)
	}
	return nil
}
