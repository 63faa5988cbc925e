package org.cuminwell.shell.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.Founding;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.ReplicatedStateMachine;
import org.cuminwell.core.control.StateMachineAction;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.wire.CommandCodec;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a journal recovers every synced entry after a crash, a loss of power or a full disk,
 * and that it refuses to open when synced bytes are damaged.
 */
final class JournalTest {

  private static final Instant ENTRY_TIME = Instant.parse("2030-01-01T00:00:00Z");
  private static final HostId LOCAL_HOST = new HostId("c0");
  private static final HardState HARD_STATE =
      new HardState(3, Optional.of(LOCAL_HOST), 7, Optional.empty());

  @TempDir private Path folder;

  @ParameterizedTest(name = "{0} entries synced, then {1} cut at every byte")
  @CsvSource({"0, 1", "3, 1", "2, 3"})
  void writeCutAtAnyByteKeepsAllSyncedEntries(int synced, int unsynced) throws IOException {
    write(1, synced);
    long syncedSize = Files.size(journalFile());
    write(synced + 1, unsynced);
    byte[] whole = Files.readAllBytes(journalFile());
    for (int end = (int) syncedSize; end <= whole.length; end++) {
      Files.write(journalFile(), Arrays.copyOf(whole, end));
      List<LogEntry<Command>> entries = recover().entries();
      assertThat(entries)
          .hasSizeBetween(synced, synced + unsynced)
          .isEqualTo(entries(1, entries.size()));
      if (end == whole.length) {
        assertThat(entries).hasSize(synced + unsynced);
      }
    }
  }

  @ParameterizedTest(name = "bit {0} of each byte")
  @ValueSource(ints = {0, 3, 7})
  void flippedBitInSyncedBytesMakesOpenFail(int bit) throws IOException {
    write(1, 3);
    byte[] whole = Files.readAllBytes(journalFile());
    int syncedEnd = whole.length - RecordFrames.HEADER_BYTES;
    for (int position = 0; position < syncedEnd; position++) {
      Files.write(journalFile(), withFlippedBit(whole, position, bit));
      assertThatThrownBy(this::recover)
          .as("flip at byte %d", position)
          .isInstanceOf(JournalException.class)
          .hasMessageContaining("damaged at byte");
    }
  }

  @ParameterizedTest(name = "bit {0} of each byte")
  @ValueSource(ints = {0, 3, 7})
  void flippedBitInTheLastSyncMarkLosesNoEntry(int bit) throws IOException {
    write(1, 3);
    byte[] whole = Files.readAllBytes(journalFile());
    int markStart = whole.length - RecordFrames.HEADER_BYTES;
    for (int position = markStart; position < whole.length; position++) {
      Files.write(journalFile(), withFlippedBit(whole, position, bit));
      assertThat(recover().entries()).isEqualTo(entries(1, 3));
    }
  }

  @ParameterizedTest(name = "{0} of {1} unsynced entries, from byte {2} of it")
  @CsvSource({
    "TORN,    1, 0",
    "TORN,    1, 1",
    "TORN,    1, 4",
    "TORN,    1, 12",
    "TORN,    3, 20",
    "MISSING, 1, 0",
    "MISSING, 2, 0",
    "MISSING, 3, 0",
  })
  void powerLossLosesOnlyUnsyncedEntries(String damage, int unsynced, int from) throws IOException {
    write(1, 2);
    int unsyncedStart = (int) Files.size(journalFile());
    write(3, 1);
    int firstEntryEnd = (int) Files.size(journalFile()) - RecordFrames.HEADER_BYTES;
    write(4, unsynced - 1);
    byte[] whole = Files.readAllBytes(journalFile());
    byte[] damaged = Arrays.copyOf(whole, whole.length - RecordFrames.HEADER_BYTES);
    Arrays.fill(
        damaged, unsyncedStart + from, firstEntryEnd, (byte) (damage.equals("TORN") ? 0x5A : 0));
    Files.write(journalFile(), withoutMarks(damaged, unsyncedStart));
    assertThat(recover().entries()).isEqualTo(entries(1, 2));
    write(3, 2);
    assertThat(recover().entries()).isEqualTo(entries(1, 4));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"zeros after a loss of power", "an unfinished snapshot", "an older generation"})
  void leftoversOfACrashAreRemoved(String leftover) throws IOException {
    write(1, 3);
    switch (leftover) {
      case "zeros after a loss of power" ->
          Files.write(journalFile(), new byte[40], StandardOpenOption.APPEND);
      case "an unfinished snapshot" ->
          Files.write(folder.resolve("journal-2.tmp"), new byte[] {1, 2, 3});
      default -> Files.write(folder.resolve("journal-0"), new byte[] {1, 2, 3});
    }
    assertThat(recover().entries()).isEqualTo(entries(1, 3));
    try (var files = Files.list(folder)) {
      assertThat(files.map(path -> path.getFileName().toString()))
          .containsExactlyInAnyOrder("journal-1", "lock");
    }
    write(4, 1);
    assertThat(recover().entries()).isEqualTo(entries(1, 4));
  }

  @ParameterizedTest(name = "{0} entries")
  @ValueSource(ints = {1, 20})
  void fullDiskIsReportedAndKeepsSyncedEntries(int synced) throws IOException {
    Path full = Path.of("/dev/full");
    assertThat(full).as("the device that is always full").exists();
    write(1, synced);
    Files.createSymbolicLink(folder.resolve("journal-2.tmp"), full);
    try (Journal journal = Journal.open(folder, () -> HARD_STATE)) {
      Files.deleteIfExists(folder.resolve("journal-2.tmp"));
      Files.createSymbolicLink(folder.resolve("journal-2.tmp"), full);
      var replace = new ReplicaAction.Replace<Command, StateSnapshot>(1, journal.recovered());
      assertThatThrownBy(() -> journal.write(replace))
          .isInstanceOf(JournalException.class)
          .hasMessageContaining("free space");
    }
    assertThat(recover().entries()).isEqualTo(entries(1, synced));
  }

  @ParameterizedTest(name = "entry {0} displaces the rest of {1}")
  @CsvSource({"1, 3", "2, 3", "3, 3", "4, 3"})
  void laterEntryOfTheSameIndexRemovesAllEntriesAfterIt(int index, int last) {
    write(1, last);
    var entry = new LogEntry<Command>(index, 9, ENTRY_TIME, new EntryContent.NoOp<>());
    try (Journal journal = Journal.open(folder, () -> HARD_STATE)) {
      journal.write(new ReplicaAction.Append<>(1, HARD_STATE, List.of(entry)));
      journal.sync();
    }
    List<LogEntry<Command>> recovered = recover().entries();
    assertThat(recovered).hasSize(index);
    assertThat(recovered.getLast()).isEqualTo(entry);
  }

  @ParameterizedTest(name = "second process {0}")
  @ValueSource(strings = {"of the same folder"})
  void folderInUseIsRefused(String name) {
    try (Journal first = Journal.open(folder, () -> HARD_STATE)) {
      assertThat(first.recovered().entries()).isEmpty();
      assertThatThrownBy(this::recover)
          .as(name)
          .isInstanceOf(JournalException.class)
          .hasMessageContaining("in use");
    }
  }

  @ParameterizedTest(name = "{0} tickets, a snapshot each {1} entries")
  @CsvSource({"600, 1024", "600, 50", "60, 1"})
  void restartAfterManyTicketsRecoversTheSameState(int tickets, int compactEntries) {
    StateSnapshot before;
    try (Journal journal = Journal.open(folder, JournalTest::founding)) {
      ReplicatedStateMachine replicatedStateMachine = newStateMachine(journal, compactEntries);
      elect(replicatedStateMachine, journal);
      for (int number = 1; number <= tickets; number++) {
        RequestId id = new RequestId("r" + number);
        perform(
            replicatedStateMachine,
            journal,
            replicatedStateMachine.submit(id, acceptTicket(number), ENTRY_TIME.plusSeconds(9)));
      }
      before = replicatedStateMachine.state().snapshot();
    }
    assertThat(before.tickets()).hasSize(tickets);
    try (Journal journal = Journal.open(folder, JournalTest::founding)) {
      ReplicatedStateMachine replicatedStateMachine = newStateMachine(journal, compactEntries);
      elect(replicatedStateMachine, journal);
      assertThat(replicatedStateMachine.state().snapshot()).isEqualTo(before);
    }
  }

  private static byte[] withFlippedBit(byte[] whole, int position, int bit) {
    byte[] damaged = whole.clone();
    damaged[position] ^= (byte) (1 << bit);
    return damaged;
  }

  /** Zeroes every sync mark from the offset on, as if nothing had been synced since. */
  private static byte[] withoutMarks(byte[] bytes, int from) {
    byte[] mark = RecordFrames.syncMark().array();
    byte[] result = bytes.clone();
    for (int i = from; i <= bytes.length - mark.length; i++) {
      if (Arrays.equals(bytes, i, i + mark.length, mark, 0, mark.length)) {
        Arrays.fill(result, i, i + mark.length, (byte) 0);
      }
    }
    return result;
  }

  private static HardState founding() {
    return HardState.founding(new Founding(Set.of(LOCAL_HOST), Set.of()), 7);
  }

  private static ReplicatedStateMachine newStateMachine(Journal journal, int compactEntries) {
    return new ReplicatedStateMachine(
        LOCAL_HOST,
        new HostAddress("c0", 7600),
        journal.recovered(),
        new SplittableRandom(1),
        new LogLimits(compactEntries, Long.MAX_VALUE),
        CommandCodec::roundTrip,
        ENTRY_TIME);
  }

  private static void elect(ReplicatedStateMachine replicatedStateMachine, Journal journal) {
    perform(
        replicatedStateMachine, journal, replicatedStateMachine.onTick(ENTRY_TIME.plusSeconds(9)));
  }

  /** Performs the writes among the actions, and the actions that follow from them. */
  private static void perform(
      ReplicatedStateMachine replicatedStateMachine,
      Journal journal,
      List<StateMachineAction> actions) {
    for (StateMachineAction action : actions) {
      if (action instanceof StateMachineAction.Write write) {
        journal.write(write.write());
        journal.sync();
        Instant now = ENTRY_TIME.plusSeconds(9);
        perform(
            replicatedStateMachine,
            journal,
            replicatedStateMachine.onPersisted(write.write().sequence(), now));
      }
    }
  }

  /** Opens the journal, appends the entries and syncs once. */
  private void write(int first, int count) {
    try (Journal journal = Journal.open(folder, () -> HARD_STATE)) {
      entries(first, count)
          .forEach(
              entry -> journal.write(new ReplicaAction.Append<>(1, HARD_STATE, List.of(entry))));
      journal.sync();
    }
  }

  private DurableState<Command, StateSnapshot> recover() {
    try (Journal journal = Journal.open(folder, () -> HARD_STATE)) {
      assertThat(journal.recovered().hardState()).isEqualTo(HARD_STATE);
      return journal.recovered();
    }
  }

  private Path journalFile() {
    return folder.resolve("journal-1");
  }

  private static List<LogEntry<Command>> entries(int first, int count) {
    return LongStream.range(first, first + count)
        .mapToObj(
            index ->
                new LogEntry<>(
                    index, 3, ENTRY_TIME, new EntryContent.Proposed<>(acceptTicket((int) index))))
        .toList();
  }

  private static Command acceptTicket(int number) {
    RegionId id = new RegionId("region" + number);
    Region region = new Region(id, Set.of(new DataCentreId("dc" + number)));
    return new Command.AcceptTicket(
        new Ticket(
            new TicketNumber(number),
            new ConfigurationChange(
                Map.of(), Map.of(), Map.of(id, Optional.of(region)), Map.of())));
  }
}
