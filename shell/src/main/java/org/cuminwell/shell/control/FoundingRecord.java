package org.cuminwell.shell.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.journal.JournalException;
import org.cuminwell.shell.journal.SyncedFile;

/**
 * Keeps on the disk who voted when the cluster was founded.
 *
 * <p>Settings name some control hosts, and may name others at a later start. Two hosts that count
 * other voters could each find a quorum without the other, so the first settings of a founding host
 * hold for as long as its data folder. Immutable and thread safe.
 *
 * @param voters the control hosts that vote
 * @param controls the peer addresses of the control hosts that were known
 */
record FoundingRecord(Set<HostId> voters, Set<HostAddress> controls) {

  private static final String NAME = "founding";
  private static final String VOTER = "voter ";
  private static final String CONTROL = "control ";

  FoundingRecord {
    voters = Set.copyOf(voters);
    controls = Set.copyOf(controls);
  }

  /**
   * Returns the settings with the voters that the data folder tells. A founding host with an empty
   * folder keeps those of its settings there first.
   *
   * @throws JournalException if the folder can't be used or holds a record that can't be read
   */
  static ControlSettings apply(ControlSettings settings) {
    Path folder = settings.agreement().data();
    try {
      Files.createDirectories(folder);
      if (settings.agreement().bootstrap() && isEmpty(folder)) {
        of(settings).keep(folder);
      }
      return load(folder).map(record -> record.on(settings)).orElse(settings);
    } catch (IOException e) {
      throw new JournalException(
          "can't use the data folder " + folder + ": " + e + "; check its disk and rights", e);
    }
  }

  private static FoundingRecord of(ControlSettings settings) {
    return new FoundingRecord(settings.agreement().voters(), new TreeSet<>(settings.controls()));
  }

  private ControlSettings on(ControlSettings settings) {
    List<HostAddress> all =
        Stream.concat(settings.controls().stream(), controls.stream()).distinct().toList();
    return settings.with(all, settings.agreement().withVoters(voters));
  }

  private void keep(Path folder) throws IOException {
    String text =
        Stream.concat(
                new TreeSet<>(voters).stream().map(id -> VOTER + id),
                new TreeSet<>(controls).stream().map(address -> CONTROL + address))
            .collect(Collectors.joining("\n"));
    SyncedFile.replace(folder, NAME, text.getBytes(StandardCharsets.UTF_8));
  }

  private static Optional<FoundingRecord> load(Path folder) throws IOException {
    Path file = folder.resolve(NAME);
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    Set<HostId> voters = new TreeSet<>();
    Set<HostAddress> controls = new TreeSet<>();
    for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
      if (line.startsWith(VOTER)) {
        voters.add(new HostId(line.substring(VOTER.length())));
      } else if (line.startsWith(CONTROL)) {
        controls.add(HostAddress.parse(line.substring(CONTROL.length())));
      } else {
        throw new JournalException(
            file + " holds the unknown line '" + line + "'; start the version that wrote it");
      }
    }
    return Optional.of(new FoundingRecord(voters, controls));
  }

  private static boolean isEmpty(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.findAny().isEmpty();
    }
  }
}
