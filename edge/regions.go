package edge

import (
	"errors"
	"fmt"
	"strings"
)

// ParseZoneRegions parses pairs ZONE=REGION that are separated by commas. An empty region is not known.
func ParseZoneRegions(text string) (map[string]string, error) {
	regions := make(map[string]string)
	var errs []error
	for pair := range strings.SplitSeq(text, ",") {
		if strings.TrimSpace(pair) == "" {
			continue
		}
		zone, region, ok := strings.Cut(pair, "=")
		zone, region = strings.TrimSpace(zone), strings.TrimSpace(region)
		known, repeated := regions[zone]
		if !ok || zone == "" || repeated && known != region {
			errs = append(errs, fmt.Errorf("settings: zone-regions: %q: want ZONE=REGION, once for each zone", pair))
			continue
		}
		regions[zone] = region
	}
	return regions, errors.Join(errs...)
}
