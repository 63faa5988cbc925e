package org.cuminwell.shell.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.model.Bytes;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a start that holds the whole journal file beside its decoded records, and so needs
 * more memory than running did.
 */
final class LongJournalIsReadInPartsTest {

  private static final HardState HARD_STATE =
      new HardState(3, Optional.empty(), 7, Optional.empty());

  @TempDir private Path folder;

  @ParameterizedTest(name = "{0} entries of {1} bytes")
  @CsvSource({"1, 10", "500, 100000", "10, 4000000"})
  void noReadIsLongerThanARecord(int count, int textBytes) throws Exception {
    List<LogEntry<Command>> entries =
        LongStream.rangeClosed(1, count).mapToObj(index -> entry(index, textBytes)).toList();
    try (Journal journal = Journal.open(folder, () -> HARD_STATE)) {
      journal.write(new ReplicaAction.Append<Command, StateSnapshot>(1, HARD_STATE, entries));
      journal.sync();
    }
    FaultyStorage storage = new FaultyStorage();
    try (Journal journal = Journal.open(storage, folder, () -> HARD_STATE)) {
      assertThat(journal.recovered().entries()).isEqualTo(entries);
    }
    long frameBytes = Files.size(folder.resolve("journal-1")) / count + RecordFrames.HEADER_BYTES;
    assertThat((long) storage.largestRead())
        .isBetween(1L, Math.max(RecordReader.BUFFER_BYTES, frameBytes));
  }

  private static LogEntry<Command> entry(long index, int textBytes) {
    Command command =
        new Command.ReplaceConfiguration(
            new ConfigurationDocument(index, Bytes.copyOf(new byte[textBytes])),
            Configuration.EMPTY);
    return new LogEntry<>(
        index, 3, Instant.parse("2030-01-01T00:00:00Z"), new EntryContent.Proposed<>(command));
  }
}
