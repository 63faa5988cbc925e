package org.cuminwell.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.model.RegionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResidencyTest {

  @ParameterizedTest(name = "customer [{0}] and route [{1}] in {2}: {3}")
  @CsvSource({
    "'',            '',            coast, true",
    "coast,         '',            coast, true",
    "coast,         '',            basin, false",
    "'',            basin,         coast, false",
    "'',            basin,         basin, true",
    "'coast,basin', basin,         basin, true",
    "'coast,basin', basin,         coast, false",
    "coast,         basin,         coast, false",
    "coast,         basin,         basin, false",
  })
  void allowsOnlyRegionsThatBothAllow(
      String customer, String route, String region, boolean allowed) {
    Residency residency = Residency.of(regions(customer)).and(Residency.of(regions(route)));

    assertThat(residency.allows(new RegionId(region))).isEqualTo(allowed);
  }

  private static Set<RegionId> regions(String names) {
    return Arrays.stream(names.split(","))
        .filter(name -> !name.isEmpty())
        .map(RegionId::new)
        .collect(Collectors.toSet());
  }
}
