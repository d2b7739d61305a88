package proxy

// ConsoleAddr is where the console listens, for tests outside of this package.
func (p *Proxy) ConsoleAddr() string { return p.console.Addr().String() }
