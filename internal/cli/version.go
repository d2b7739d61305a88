package cli

import (
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the release; CHANGELOG.md tells what each brought.
const Version = "0.2.0"

func (e *env) versionVerb() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  brasswell version --format json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			v := struct {
				Version  string `json:"version"`
				Revision string `json:"revision,omitempty"`
				Go       string `json:"go"`
			}{Version: Version, Go: runtime.Version()}
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						v.Revision = s.Value
					}
				}
			}
			if e.format == "json" {
				return json.NewEncoder(e.out).Encode(v)
			}
			fmt.Fprintf(e.out, "brasswell %s (%s)\n", v.Version, v.Go)
			return nil
		},
	}
}
