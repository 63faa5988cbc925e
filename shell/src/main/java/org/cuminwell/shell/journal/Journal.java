package org.cuminwell.shell.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.wire.JournalCodec;
import org.cuminwell.wire.JournalRecord;

/**
 * Stores the durable state of a control host in one data folder: the hard state, the latest
 * snapshot and the log entries after it.
 *
 * <p>Records are appended to one current file, {@code journal-N}, where N is the generation. {@link
 * ReplicaAction.Replace} starts the next generation: the new file is written under a temporary
 * name, synced and renamed, the folder is synced, and only then is the old file deleted.
 *
 * <p>Writes that are not synced yet are also kept in memory. After a disk failure the next {@link
 * #sync} truncates the file to the last synced offset and writes them again.
 *
 * <p>Invariant: {@link #open} recovers everything written before a {@link #sync} that returned, or
 * it fails. Not thread safe: once opened, a journal must be used by one thread only.
 */
public final class Journal implements AutoCloseable {

  private static final String FILE_PREFIX = "journal-";
  private static final String UNFINISHED_SUFFIX = ".tmp";

  private final Storage storage;
  private final Path folder;
  private final FileChannel lockFile;
  private final DurableState<Command, StateSnapshot> recovered;
  private final List<ReplicaAction.Write<Command, StateSnapshot>> unsyncedWrites =
      new ArrayList<>();
  private FileChannel file;
  private long generation;
  private HardState hardState;
  private long syncedEndOffset;
  private HardState syncedHardState;
  private boolean rewriteNeeded;

  private Journal(
      Storage storage,
      Path folder,
      FileChannel lockFile,
      long generation,
      FileChannel file,
      DurableState<Command, StateSnapshot> recovered)
      throws IOException {
    this.storage = storage;
    this.folder = folder;
    this.lockFile = lockFile;
    this.generation = generation;
    this.file = file;
    this.recovered = recovered;
    this.hardState = recovered.hardState();
    this.syncedEndOffset = file.position();
    this.syncedHardState = hardState;
  }

  /**
   * Opens the journal in a data folder and creates the folder if it doesn't exist.
   *
   * @param initialHardState the hard state to start from if the folder holds no journal
   * @throws JournalException if the folder is in use by another process, can't be accessed, or
   *     holds a damaged journal
   */
  public static Journal open(Path folder, Supplier<HardState> initialHardState) {
    return open(Storage.LOCAL, folder, initialHardState);
  }

  static Journal open(Storage storage, Path folder, Supplier<HardState> initialHardState) {
    try {
      Files.createDirectories(folder);
      return openLocked(storage, folder, lockFolder(folder), initialHardState);
    } catch (IOException e) {
      throw new JournalException(
          "can't use the data folder " + folder + ": " + e + "; check its disk and rights", e);
    }
  }

  private static Journal openLocked(
      Storage storage, Path folder, FileChannel lockFile, Supplier<HardState> initialHardState)
      throws IOException {
    try {
      List<Path> journals = listJournals(folder);
      if (journals.isEmpty()) {
        DurableState<Command, StateSnapshot> empty = DurableState.empty(initialHardState.get());
        FileChannel file = createFile(storage, folder, 1, empty);
        return new Journal(storage, folder, lockFile, 1, file, empty);
      }
      return recoverNewest(storage, folder, lockFile, journals);
    } catch (IOException | RuntimeException e) {
      lockFile.close();
      throw e;
    }
  }

  /** Returns the durable state that the folder held when it was opened. */
  public DurableState<Command, StateSnapshot> recovered() {
    return recovered;
  }

  /**
   * Performs a write of the replica. It is durable only after {@link #sync} has returned.
   *
   * @throws JournalException if the disk fails; the next {@link #sync} repeats the write
   */
  public void write(ReplicaAction.Write<Command, StateSnapshot> write) {
    if (write instanceof ReplicaAction.Replace<Command, StateSnapshot>) {
      unsyncedWrites.clear();
    }
    unsyncedWrites.add(write);
    if (rewriteNeeded) {
      return;
    }
    try {
      apply(write);
    } catch (IOException e) {
      throw diskFailure(e);
    }
  }

  /**
   * Makes all writes so far durable, and repeats them first if the disk has failed since the last
   * sync.
   *
   * @throws JournalException if the disk fails; the writes since the last successful sync may be
   *     lost in a crash, and the next sync repeats them
   */
  public void sync() {
    try {
      if (rewriteNeeded) {
        rewriteUnsynced();
      }
      file.force(false);
      writeFully(file, RecordFrames.syncMark());
      recordSynced();
      rewriteNeeded = false;
    } catch (IOException e) {
      throw diskFailure(e);
    }
  }

  @Override
  public void close() {
    try {
      file.close();
      lockFile.close();
    } catch (IOException e) {
      throw diskFailure(e);
    }
  }

  /** Truncates the file to the last synced offset and writes all unsynced writes again. */
  private void rewriteUnsynced() throws IOException {
    file.truncate(syncedEndOffset);
    file.position(syncedEndOffset);
    hardState = syncedHardState;
    // Iterates over a copy, since applying a Replace clears the list.
    for (ReplicaAction.Write<Command, StateSnapshot> write : List.copyOf(unsyncedWrites)) {
      apply(write);
    }
  }

  private void apply(ReplicaAction.Write<Command, StateSnapshot> write) throws IOException {
    switch (write) {
      case ReplicaAction.Append<Command, StateSnapshot> w -> append(w);
      case ReplicaAction.Replace<Command, StateSnapshot> w -> replace(w.durable());
    }
  }

  private void recordSynced() throws IOException {
    unsyncedWrites.clear();
    syncedEndOffset = file.position();
    syncedHardState = hardState;
  }

  private void append(ReplicaAction.Append<Command, StateSnapshot> write) throws IOException {
    if (!write.hardState().equals(hardState)) {
      hardState = write.hardState();
      writeRecord(file, new JournalRecord.Hard(hardState));
    }
    for (LogEntry<Command> entry : write.entries()) {
      writeRecord(file, new JournalRecord.Entry(entry));
    }
  }

  /** Starts the next generation with the given state, and deletes the file of the previous one. */
  private void replace(DurableState<Command, StateSnapshot> state) throws IOException {
    FileChannel next = createFile(storage, folder, generation + 1, state);
    FileChannel old = file;
    file = next;
    generation++;
    hardState = state.hardState();
    recordSynced();
    old.close();
    Files.delete(journalPath(folder, generation - 1));
  }

  /** Returns the exception to throw, and makes the next sync repeat the unsynced writes. */
  private JournalException diskFailure(IOException cause) {
    rewriteNeeded = true;
    return new JournalException(
        "the disk of data folder "
            + folder
            + " failed: "
            + cause
            + "; unsynced writes have not been acknowledged; free space or repair the disk",
        cause);
  }

  /** Opens the newest journal, drops its incomplete end, and deletes the older journals. */
  private static Journal recoverNewest(
      Storage storage, Path folder, FileChannel lockFile, List<Path> journals) throws IOException {
    Path newest = journals.getLast();
    RecoveredState state = new RecoveredState(newest);
    long endOffset = RecordReader.readRecords(storage, newest, state::addRecord);
    DurableState<Command, StateSnapshot> recovered = state.toDurableState();
    FileChannel file = storage.open(newest, StandardOpenOption.WRITE);
    file.truncate(endOffset);
    file.position(endOffset);
    file.force(true);
    Journal journal =
        new Journal(storage, folder, lockFile, parseGeneration(newest), file, recovered);
    journal.writeRecoveryMark();
    for (Path older : journals.subList(0, journals.size() - 1)) {
      Files.delete(older);
    }
    return journal;
  }

  /** Appends a sync mark after the recovered records. If that fails, the next sync does so. */
  private void writeRecoveryMark() {
    try {
      writeFully(file, RecordFrames.syncMark());
      syncedEndOffset = file.position();
    } catch (IOException e) {
      rewriteNeeded = true;
    }
  }

  /** Creates the file of a generation with the given state, and returns once it is durable. */
  private static FileChannel createFile(
      Storage storage, Path folder, long generation, DurableState<Command, StateSnapshot> state)
      throws IOException {
    Path journalPath = journalPath(folder, generation);
    Path unfinished = folder.resolve(journalPath.getFileName() + UNFINISHED_SUFFIX);
    FileChannel file =
        storage.open(
            unfinished,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
    try {
      writeState(file, state);
      storage.move(unfinished, journalPath);
      storage.syncFolder(folder);
      return file;
    } catch (IOException e) {
      file.close();
      throw e;
    }
  }

  /** Writes the state to an empty file, syncs the file and appends a sync mark. */
  private static void writeState(FileChannel file, DurableState<Command, StateSnapshot> state)
      throws IOException {
    writeRecord(file, new JournalRecord.Hard(state.hardState()));
    if (state.snapshot().isPresent()) {
      writeRecord(file, new JournalRecord.Base(state.snapshot().get()));
    }
    for (LogEntry<Command> entry : state.entries()) {
      writeRecord(file, new JournalRecord.Entry(entry));
    }
    file.force(true);
    writeFully(file, RecordFrames.syncMark());
  }

  private static void writeRecord(FileChannel file, JournalRecord record) throws IOException {
    writeFully(file, RecordFrames.frame(JournalCodec.encode(record)));
  }

  private static void writeFully(FileChannel file, ByteBuffer frame) throws IOException {
    while (frame.hasRemaining()) {
      file.write(frame);
    }
  }

  /** Locks the folder against other processes, until the returned channel is closed. */
  private static FileChannel lockFolder(Path folder) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!tryLock(channel)) {
      channel.close();
      throw new JournalException(
          "data folder "
              + folder
              + " is in use by another process; give each host its own data folder");
    }
    return channel;
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      FileLock lock = channel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  /** Deletes the unfinished journals of the folder, and returns the others, the newest last. */
  private static List<Path> listJournals(Path folder) throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      List<Path> journals =
          all.filter(path -> path.getFileName().toString().startsWith(FILE_PREFIX)).toList();
      for (Path path : journals) {
        if (isUnfinished(path)) {
          Files.delete(path);
        }
      }
      return journals.stream()
          .filter(path -> !isUnfinished(path))
          .sorted(Comparator.comparingLong(Journal::parseGeneration))
          .toList();
    }
  }

  private static boolean isUnfinished(Path path) {
    return path.getFileName().toString().endsWith(UNFINISHED_SUFFIX);
  }

  private static long parseGeneration(Path path) {
    String name = path.getFileName().toString();
    try {
      return Long.parseLong(name.substring(FILE_PREFIX.length()));
    } catch (NumberFormatException e) {
      throw new JournalException("remove the unknown file " + path + " from the data folder", e);
    }
  }

  private static Path journalPath(Path folder, long generation) {
    return folder.resolve(FILE_PREFIX + generation);
  }
}
