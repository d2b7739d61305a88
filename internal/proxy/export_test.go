package proxy

// ConsoleAddr returns the address of the console, for tests in package proxy_test.
func (p *Proxy) ConsoleAddr() string { return p.console.Addr().String() }
