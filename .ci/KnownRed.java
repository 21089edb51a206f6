import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Document;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Checks the reports of a build in which test failures were ignored. Exits with 0 only if each test
 * listed in KNOWN-RED.txt failed and every other test passed or was skipped. Run it at the root of
 * the repository, after the build.
 */
public final class KnownRed {
  private static final int MAX_ENTRIES = 3;

  /** The names of files that Surefire's default configuration runs as tests. */
  private static final String TEST_FILE = "Test.*\\.java|.*(Test|Tests|TestCase)\\.java";

  private enum Outcome {
    PASSED,
    FAILED,
    SKIPPED
  }

  private final List<String> faults = new ArrayList<>();
  private final Set<String> listed = new TreeSet<>();

  /** The outcomes by Class#method. A method has more than one outcome if it ran more than once. */
  private final Map<String, Set<Outcome>> outcomes = new TreeMap<>();

  public static void main(String[] args) throws IOException, ParserConfigurationException {
    KnownRed check = new KnownRed();
    check.readList();
    check.readReports();
    check.compare();
    if (!check.faults.isEmpty()) {
      System.out.println("Not passed over:");
      check.faults.forEach(fault -> System.out.println("  " + fault));
      System.exit(1);
    }
  }

  /**
   * Reads KNOWN-RED.txt and prints its entries, so that every ignored failure is visible in the
   * output.
   */
  private void readList() throws IOException {
    List<String> entries =
        Files.readAllLines(Path.of("KNOWN-RED.txt")).stream()
            .map(String::strip)
            .filter(line -> !line.isEmpty() && !line.startsWith("#"))
            .toList();
    System.out.println("Known red:");
    entries.forEach(entry -> System.out.println("  " + entry));
    if (entries.size() > MAX_ENTRIES) {
      faults.add(entries.size() + " entries; " + MAX_ENTRIES + " at most");
    }
    for (String entry : entries) {
      String[] parts = entry.split("\\|", -1);
      String test = parts[0].strip();
      if (parts.length != 3
          || parts[1].isBlank()
          || parts[2].isBlank()
          || !test.matches("[\\w.$]+#[\\w$]+")) {
        faults.add("not of the form package.Class#method | cause | issue: " + entry);
      } else if (!listed.add(test)) {
        faults.add("listed twice: " + test);
      }
    }
  }

  private void readReports() throws IOException, ParserConfigurationException {
    List<String> modules = new ArrayList<>();
    try {
      NodeList parts = parse(Path.of("pom.xml")).getDocumentElement().getChildNodes();
      for (int i = 0; i < parts.getLength(); i++) {
        if (parts.item(i) instanceof Element part && part.getTagName().equals("modules")) {
          NodeList names = part.getElementsByTagName("module");
          for (int j = 0; j < names.getLength(); j++) {
            modules.add(names.item(j).getTextContent().strip());
          }
        }
      }
    } catch (SAXException e) {
      faults.add("can't be read: pom.xml: " + e.getMessage());
    }
    for (String module : modules) {
      Path reports = Path.of(module, "target", "surefire-reports");
      for (Path report : files(reports, "TEST-.*\\.xml")) {
        readReport(report);
      }
      // A class whose tests were never started leaves no failure, only a missing report.
      Path sources = Path.of(module, "src", "test", "java");
      for (Path source : files(sources, TEST_FILE)) {
        String name =
            sources.relativize(source).toString().replaceAll("\\.java$", "").replace('/', '.');
        if (outcomes.keySet().stream().noneMatch(test -> test.startsWith(name + "#"))) {
          faults.add("no test of it ran: " + name);
        }
      }
    }
    if (outcomes.isEmpty()) {
      faults.add("no tests ran");
    }
  }

  private void readReport(Path report) throws IOException, ParserConfigurationException {
    try {
      NodeList tests = parse(report).getElementsByTagName("testcase");
      for (int i = 0; i < tests.getLength(); i++) {
        Element test = (Element) tests.item(i);
        // A failure outside a test method, as in @BeforeAll, has an empty name: it can't be listed.
        String name = test.getAttribute("classname") + "#" + test.getAttribute("name");
        outcomes.computeIfAbsent(name, key -> EnumSet.noneOf(Outcome.class)).add(outcome(test));
      }
    } catch (SAXException e) {
      faults.add("can't be read: " + report + ": " + e.getMessage());
    }
  }

  private static Outcome outcome(Element test) {
    if (test.getElementsByTagName("failure").getLength()
            + test.getElementsByTagName("error").getLength()
        > 0) {
      return Outcome.FAILED;
    }
    return test.getElementsByTagName("skipped").getLength() > 0 ? Outcome.SKIPPED : Outcome.PASSED;
  }

  private void compare() {
    for (String test : listed) {
      Set<Outcome> seen = outcomes.get(test);
      if (seen == null) {
        faults.add("listed, but there is no such test: " + test);
      } else if (seen.contains(Outcome.PASSED)) {
        faults.add("listed, but it passes: " + test);
      } else if (seen.contains(Outcome.SKIPPED)) {
        faults.add("listed, but it was skipped: " + test);
      }
    }
    outcomes.forEach(
        (test, seen) -> {
          if (seen.contains(Outcome.FAILED) && !listed.contains(test)) {
            faults.add("fails and is not listed: " + test);
          }
        });
  }

  private static List<Path> files(Path directory, String name) throws IOException {
    if (!Files.isDirectory(directory)) {
      return List.of();
    }
    try (Stream<Path> found = Files.walk(directory)) {
      return found.filter(file -> file.getFileName().toString().matches(name)).sorted().toList();
    }
  }

  private static Document parse(Path file)
      throws IOException, ParserConfigurationException, SAXException {
    return DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(file.toFile());
  }
}
