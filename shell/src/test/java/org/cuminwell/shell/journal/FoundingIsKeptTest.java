package org.cuminwell.shell.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.consensus.Founding;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.wire.generated.JournalRecord;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against voters that a host takes from its settings at a later start, which led to two
 * separate quorums: a data folder keeps the founding that it began with.
 */
final class FoundingIsKeptTest {

  @TempDir private Path folder;

  @ParameterizedTest(name = "first {0} (bootstrap: {1}), then {2} (bootstrap: {3}): founders {4}")
  @CsvSource({
    "a b c, true,  a b c, false, a b c",
    "a b c, true,  a b d, false, a b c",
    "a b c, true,  d e f, true,  a b c",
    "a b c, false, a b d, false, ",
    "a b c, false, a b d, true,  ",
  })
  void laterSettingsChangeNothing(
      String first, boolean founds, String later, boolean foundsLater, String founders) {
    HardState before = open(first, founds, 1);
    HardState after = open(later, foundsLater, 2);
    assertThat(after).isEqualTo(before);
    assertThat(after.founding().map(Founding::voters))
        .isEqualTo(Optional.ofNullable(founders).map(FoundingIsKeptTest::hosts));
    assertThat(after.founding().map(Founding::addresses))
        .isEqualTo(Optional.ofNullable(founders).map(FoundingIsKeptTest::addresses));
  }

  @ParameterizedTest(name = "term {0}")
  @ValueSource(longs = {0, 7})
  void folderOfAVersionWithoutMembersIsRefused(long term) throws IOException {
    var record = JournalRecord.newBuilder();
    record.getHardStateBuilder().setTerm(term);
    Files.write(
        folder.resolve("journal-1"), RecordFrames.frame(record.build().toByteArray()).array());
    assertThatThrownBy(() -> open("a", false, 1))
        .isInstanceOf(JournalException.class)
        .hasMessageContaining("start the version that wrote it");
  }

  /** Opens the folder as a host does whose settings name these hosts. */
  private HardState open(String hosts, boolean bootstrap, long incarnation) {
    try (Journal journal = Journal.open(folder, () -> fresh(hosts, bootstrap, incarnation))) {
      return journal.recovered().hardState();
    }
  }

  private static HardState fresh(String hosts, boolean bootstrap, long incarnation) {
    return bootstrap
        ? HardState.founding(new Founding(hosts(hosts), addresses(hosts)), incarnation)
        : HardState.joining(incarnation);
  }

  private static Set<HostAddress> addresses(String names) {
    return hosts(names).stream()
        .map(host -> new HostAddress(host.value(), 7600))
        .collect(Collectors.toSet());
  }

  private static Set<HostId> hosts(String names) {
    return Arrays.stream(names.split(" ", -1)).map(HostId::new).collect(Collectors.toSet());
  }
}
