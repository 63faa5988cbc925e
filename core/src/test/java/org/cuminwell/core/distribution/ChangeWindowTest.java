package org.cuminwell.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.config.ConfigurationSize;
import org.cuminwell.core.config.LargeConfigurations;
import org.cuminwell.core.distribution.DistributionMessage.Difference;
import org.cuminwell.core.model.Revision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a window that keeps a bounded number of changes of unbounded size, in every
 * gateway and control host.
 */
final class ChangeWindowTest {

  @ParameterizedTest(name = "{0} changes of {1} routes")
  @CsvSource({"1000, 1", "1500, 1", "500, 358", "20, 5000", "3, 20000"})
  void keptChangesStayWithinTheirBytes(int changes, int routes) {
    ChangeWindow window = new ChangeWindow();
    Configuration previous = Configuration.EMPTY;
    for (int version = 1; version <= changes; version++) {
      Configuration next = LargeConfigurations.content(version, routes);
      window.append(previous.changeTo(next));
      previous = next;
    }
    long kept = countKept(window, changes);
    long changeBytes = ConfigurationSize.bytesOf(changeOf(routes));
    assertThat(kept * changeBytes).isLessThanOrEqualTo(ChangeWindow.MAX_BYTES);
    assertThat(kept)
        .isGreaterThanOrEqualTo(
            Math.min(
                Math.min(changes - 1, ChangeWindow.MAX_CHANGES),
                ChangeWindow.MAX_BYTES / changeBytes - 1));
    assertThat(window.end()).isEqualTo(new Revision(changes));
  }

  /** Returns how many changes before the end of the window are kept. */
  private static long countKept(ChangeWindow window, int changes) {
    long kept = 0;
    while (kept < changes && differenceOf(window, changes - kept - 1).isPresent()) {
      kept++;
    }
    return kept;
  }

  private static Optional<Difference> differenceOf(ChangeWindow window, long from) {
    return window.since(new Revision(from));
  }

  private static ConfigurationChange changeOf(int routes) {
    return LargeConfigurations.content(1, routes).changeTo(LargeConfigurations.content(2, routes));
  }
}
