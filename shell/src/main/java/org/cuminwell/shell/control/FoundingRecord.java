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
 * Stores on disk the voters and control hosts that a cluster was founded with.
 *
 * <p>The settings may name different control hosts at a later start. Two hosts with different sets
 * of voters could each reach a quorum without the other, so the voters that a founding host records
 * at its first start override its later settings for the lifetime of its data folder. Immutable and
 * thread safe.
 *
 * @param voters the control hosts that vote
 * @param controlAddresses the peer addresses of the control hosts in the founding settings
 */
record FoundingRecord(Set<HostId> voters, Set<HostAddress> controlAddresses) {

  private static final String FILE_NAME = "founding";
  private static final String VOTER_PREFIX = "voter ";
  private static final String CONTROL_PREFIX = "control ";

  FoundingRecord {
    voters = Set.copyOf(voters);
    controlAddresses = Set.copyOf(controlAddresses);
  }

  /**
   * Returns the settings with the recorded voters, and with the recorded addresses added to the
   * configured ones; without a record, returns the settings unchanged. A host that bootstraps with
   * an empty data folder first writes the record from its settings.
   *
   * @throws JournalException if the folder can't be used or its record contains an unknown line
   */
  static ControlSettings apply(ControlSettings settings) {
    Path folder = settings.agreement().dataFolder();
    try {
      Files.createDirectories(folder);
      if (settings.agreement().bootstrap() && isEmpty(folder)) {
        of(settings).writeTo(folder);
      }
      return load(folder).map(record -> record.applyTo(settings)).orElse(settings);
    } catch (IOException e) {
      throw new JournalException(
          "can't use the data folder " + folder + ": " + e + "; check its disk and rights", e);
    }
  }

  private static FoundingRecord of(ControlSettings settings) {
    return new FoundingRecord(
        settings.agreement().voters(), new TreeSet<>(settings.controlAddresses()));
  }

  private ControlSettings applyTo(ControlSettings settings) {
    List<HostAddress> allAddresses =
        Stream.concat(settings.controlAddresses().stream(), controlAddresses.stream())
            .distinct()
            .toList();
    return settings.withControlsAndAgreement(allAddresses, settings.agreement().withVoters(voters));
  }

  private void writeTo(Path folder) throws IOException {
    String text =
        Stream.concat(
                new TreeSet<>(voters).stream().map(id -> VOTER_PREFIX + id),
                new TreeSet<>(controlAddresses).stream().map(address -> CONTROL_PREFIX + address))
            .collect(Collectors.joining("\n"));
    SyncedFile.replace(folder, FILE_NAME, text.getBytes(StandardCharsets.UTF_8));
  }

  private static Optional<FoundingRecord> load(Path folder) throws IOException {
    Path file = folder.resolve(FILE_NAME);
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    Set<HostId> voters = new TreeSet<>();
    Set<HostAddress> controlAddresses = new TreeSet<>();
    for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
      if (line.startsWith(VOTER_PREFIX)) {
        voters.add(new HostId(line.substring(VOTER_PREFIX.length())));
      } else if (line.startsWith(CONTROL_PREFIX)) {
        controlAddresses.add(HostAddress.parse(line.substring(CONTROL_PREFIX.length())));
      } else {
        throw new JournalException(
            file + " contains the unknown line '" + line + "'; start the version that wrote it");
      }
    }
    return Optional.of(new FoundingRecord(voters, controlAddresses));
  }

  private static boolean isEmpty(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.findAny().isEmpty();
    }
  }
}
