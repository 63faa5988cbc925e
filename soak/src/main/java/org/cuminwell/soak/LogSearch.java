package org.cuminwell.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Finds what the processes of a run wrote of some requests. Stateless and thread safe. */
final class LogSearch {

  private LogSearch() {}

  /** Returns the lines that name a request, and those of stops, in the order of their times. */
  static List<String> find(Path folder, Set<String> requests) throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".log")).toList()) {
        for (String line : Files.readAllLines(file)) {
          if (isWanted(line, requests)) {
            found.add(line + " # " + file.getFileName());
          }
        }
      }
    }
    found.sort(Comparator.naturalOrder());
    return found;
  }

  private static boolean isWanted(String line, Set<String> requests) {
    return line.contains("\"logger\":\"org.cuminwell.stop\"")
        || requests.stream().anyMatch(line::contains);
  }
}
