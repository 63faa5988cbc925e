package org.cuminwell.shell.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.journal.JournalException;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a control host keeps the voters that are recorded in its data folder, so that later
 * settings can't lead to two separate quorums.
 */
final class FoundingRecordTest {

  private static final int PORT = 7600;

  @TempDir private Path folder;

  @ParameterizedTest(name = "first {0} (bootstrap: {1}), then {2}: voters {3}, knows {4}")
  @CsvSource({
    "a b c, true,  a b c, a b c, a b c",
    "a b c, true,  a b d, a b c, a b c d",
    "a b c, true,  d e f, a b c, a b c d e f",
    "a b c, false, a b d, a b d, a b d",
  })
  void recordedVotersOverrideLaterSettings(
      String first, boolean founds, String later, String voters, String known) {
    FoundingRecord.apply(settings(first, founds));
    ControlSettings settings = FoundingRecord.apply(settings(later, false));
    assertThat(settings.agreement().voters()).isEqualTo(Set.copyOf(ids(voters)));
    assertThat(settings.controlAddresses()).hasSameElementsAs(addresses(known));
  }

  @ParameterizedTest(name = "a folder that holds {0}")
  @ValueSource(strings = {"journal-1", "lock"})
  void nonEmptyFolderIsNotFounded(String file) throws IOException {
    Files.createFile(folder.resolve(file));
    ControlSettings settings = FoundingRecord.apply(settings("a b d", true));
    assertThat(settings.agreement().voters()).isEqualTo(Set.copyOf(ids("a b d")));
    assertThat(folder.resolve("founding")).doesNotExist();
  }

  @ParameterizedTest(name = "line {0}")
  @ValueSource(strings = {"voters a", "x"})
  void unknownRecordLineIsRejected(String line) throws IOException {
    Files.writeString(folder.resolve("founding"), line);
    assertThatThrownBy(() -> FoundingRecord.apply(settings("a", false)))
        .isInstanceOf(JournalException.class)
        .hasMessageContaining(line);
  }

  private ControlSettings settings(String hosts, boolean bootstrap) {
    HostAddress self = new HostAddress("self", PORT);
    return new ControlSettings(
        new HostId("self"),
        self,
        self,
        addresses(hosts),
        new AgreementSettings(folder, Set.copyOf(ids(hosts)), bootstrap),
        OperatorAccess.unrestricted(),
        List.of(),
        Optional.empty());
  }

  private static List<HostId> ids(String hosts) {
    return Arrays.stream(hosts.split(" ", -1)).map(HostId::new).toList();
  }

  private static List<HostAddress> addresses(String hosts) {
    return Arrays.stream(hosts.split(" ", -1))
        .map(host -> new HostAddress(host, PORT))
        .collect(Collectors.toList());
  }
}
