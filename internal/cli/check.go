package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"brasswell/internal/config"
	"brasswell/internal/description"
	"brasswell/internal/operator"
)

// checked is the answer for one file.
type checked struct {
	File     string             `json:"file"`
	Sound    bool               `json:"sound"`
	Findings []operator.Finding `json:"findings,omitempty"`
	Settings int                `json:"settings"` // how many the file sets
}

func (e *env) checkVerb() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check operator files, descriptions (.toml) and platform files (.json) before they are used",
		Long: "Reads each file as a proxy would, and says everything that is wrong with it, at its place and with the mend.\n" +
			"A TOML file with an [app] table is an application's description. Exits with 1 if a file has findings that are no\n" +
			"warnings, and 2 if one cannot be read.",
		Example: "  brasswell check deploy/operator.toml\n  brasswell check --format json deploy/operator.toml config.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			all := true
			for _, file := range files {
				c, err := check(file)
				if err != nil {
					return readable(file, err)
				}
				all = all && c.Sound
				e.printChecked(c)
			}
			if !all {
				return answerNo{errors.New("not sound")}
			}
			return nil
		},
	}
}

func check(file string) (checked, error) {
	c := checked{File: file}
	text, err := config.ReadFile(file)
	if err != nil {
		return c, err
	}
	switch {
	case strings.EqualFold(filepath.Ext(file), ".json"):
		if err := config.CheckPlatform(text); err != nil {
			c.Findings = []operator.Finding{jsonFinding(file, text, err)}
		}
	case description.Is(text):
		_, _, c.Findings = description.Parse(file, text)
	default:
		o, err := config.ParseOperator(file, text)
		var findings operator.Error
		switch {
		case errors.As(err, &findings):
			c.Findings = findings
		case err != nil:
			return c, err
		default:
			c.Settings = len(o.Values)
		}
	}
	c.Sound = !slices.ContainsFunc(c.Findings, func(f operator.Finding) bool { return !f.Warning })
	return c, nil
}

// jsonFinding places an error of the platform's file as well as encoding/json tells.
func jsonFinding(file string, text []byte, err error) operator.Finding {
	f := operator.Finding{File: file, Line: 1, Column: 1, Text: err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	at := int64(0)
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &wrongType):
		at = wrongType.Offset
	}
	before := string(text[:min(max(at-1, 0), int64(len(text)))])
	f.Line += strings.Count(before, "\n")
	f.Column += len([]rune(before[strings.LastIndexByte(before, '\n')+1:]))
	return f
}

func (e *env) printChecked(c checked) {
	if e.format == "json" {
		json.NewEncoder(e.out).Encode(c)
		return
	}
	for _, f := range c.Findings {
		fmt.Fprintln(e.out, f)
	}
	if c.Sound {
		fmt.Fprintf(e.out, "%s: sound\n", c.File)
	}
}
