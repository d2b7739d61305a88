package cli

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"brasswell/internal/rig/scale/fit"
)

func (e *env) scaleFitVerb() *cobra.Command {
	return &cobra.Command{
		Use:   "fit FOLDER",
		Short: "Fit models of growth to the results of scale runs, as the tables of docs/CAPACITY.md",
		Long: "Reads all results of `brasswell scale --format json` (*.json) in a folder, fits the usage and the in-force times by the\n" +
			"number of members with models of growth, and compares the chosen model's prediction for 1,400 members with what was\n" +
			"measured. Prints Markdown; with --format json, one object with all models that were tried. Exits with 2 if there\n" +
			"are no results or one makes no sense.",
		Example: "  brasswell scale fit docs/measurements/scale",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			report, err := fit.Folder(args[0])
			if err != nil {
				return fmt.Errorf("scale fit: %w", err)
			}
			if e.format == "json" {
				return json.NewEncoder(e.out).Encode(report)
			}
			_, err = fmt.Fprint(e.out, report.Markdown())
			return err
		},
	}
}
