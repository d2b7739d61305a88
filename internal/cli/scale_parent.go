package cli

import "github.com/spf13/cobra"

// scaleVerb holds the verbs about measuring at scale.
func (e *env) scaleVerb() *cobra.Command {
	c := &cobra.Command{
		Use: "scale", Short: "Measure how the control part of proxies scales",
		Example: "  brasswell scale calls --rate 100 --depth 1\n  brasswell scale fit docs/measurements/scale",
	}
	c.AddCommand(e.scaleFitVerb(), e.scaleCallsVerb())
	return c
}
