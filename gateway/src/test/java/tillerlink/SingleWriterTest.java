package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards the guard: an attempt can reach a socket in one way only, and each step of it stands in
 * one place. Whoever adds a second has to lead it past the guard first, and then say so here.
 */
class SingleWriterTest {
  private static final Path SOURCES = Path.of("src", "main", "java", "tillerlink");

  @Test
  void socketsAreOpenedAndWrittenInTheDriverAlone() throws IOException {
    assertEquals(
        List.of("net/io/MinaDriver.java", "net/io/ReadProcessor.java"),
        filesWith("NioSocketConnector|\\bSocketChannel\\b|java\\.net\\.Socket\\b"));
    assertEquals(
        List.of("net/io/DiscoverySocket.java"),
        filesWith("NioDatagramConnector|DatagramChannel\\b|java\\.net\\.DatagramSocket\\b"));
    assertEquals(
        List.of("net/io/DiscoverySocket.java", "net/io/MinaDriver.java"),
        filesWith("session\\.write\\("),
        "one for datagrams, one for connections");
    assertEquals(
        2,
        occurrences("net/io/ReadProcessor.java", "super\\.write\\("),
        "one for what has no time, one behind the clock");
    assertEquals(List.of("net/io/ReadProcessor.java"), filesWith("super\\.write\\("));
  }

  @Test
  void attemptsAreEncodedAndWrittenOnce() throws IOException {
    assertEquals(List.of("net/state/EngineConnection.java"), filesWith("EngineCommand\\.want\\("));
    assertEquals(1, occurrences("net/state/EngineConnection.java", "EngineCommand\\.want\\("));
    assertEquals(
        List.of("net/state/EngineConnection.java"), filesWith("\\.writeUntil\\(\\s*EngineCommand"));
  }

  /** Right before the one write: the guard's verdict; before the transport gets it: the same. */
  @Test
  void eachWriteIsCheckedByTheGuard() throws IOException {
    String link = Files.readString(SOURCES.resolve("net/state/EngineConnection.java"));
    assertEquals(1, count(link, "[^.\\w]want\\(inFlight\\);"));
    assertEquals(
        1, count(link, "if \\(verdict == SendVerdict\\.ALLOWED\\) \\{\\s+want\\(inFlight\\);"));
    String executor = Files.readString(SOURCES.resolve("net/state/ActionExecutor.java"));
    assertEquals(1, count(executor, "inFlight\\.transport\\(\\)\\.send\\(inFlight\\)"));
    assertEquals(
        List.of("net/state/ActionExecutor.java"), filesWith("transport\\(?[^;]*\\)?\\.send\\("));
    assertEquals(
        1,
        count(
            executor,
            "if \\(verdict == SendVerdict\\.ALLOWED\\)"
                + " \\{\\s+inFlight\\.transport\\(\\)\\.send\\(inFlight\\)"));
    assertEquals(
        List.of("policy/DefaultDispatchPolicy.java", "policy/SendGuard.java"),
        filesWith("guard\\.checkWrite\\(|SendVerdict checkWrite\\(long now, Attempt attempt\\) \\{")
            .stream()
            .filter(file -> !file.startsWith("port/"))
            .toList());
  }

  private static int occurrences(String file, String pattern) throws IOException {
    return count(Files.readString(SOURCES.resolve(file)), pattern);
  }

  private static int count(String text, String pattern) {
    return (int) Pattern.compile(pattern).matcher(text).results().count();
  }

  private static List<String> filesWith(String pattern) throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).sorted().toList()) {
        if (count(Files.readString(file), pattern) > 0) {
          found.add(SOURCES.relativize(file).toString().replace('\\', '/'));
        }
      }
    }
    return found;
  }
}
