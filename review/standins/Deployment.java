import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** One gateway of sede-parque-patricios with its engines and its name service. */
final class Deployment implements AutoCloseable {
  /** A case: returns whether the rule held. */
  interface Play {
    boolean play(Deployment deployment, boolean trouble) throws Exception;
  }

  final Record record;
  final NameService names;
  final GatewayProcess gateway;
  private final Path folder;
  private final Path recordFile;
  private final List<Engine> engines = new ArrayList<>();

  private Deployment(Path root, Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review");
    this.recordFile = recordFile;
    record = new Record(recordFile);
    names = new NameService(record);
    gateway = new GatewayProcess(root, folder);
  }

  /**
   * Plays a case and ends this process: with 0 if the rule held, 1 if it was broken and 2 if the
   * case could not run.
   *
   * @param args the root of the repository and the file of the record
   */
  static void run(String[] args, int small, int large, Engine.Script script, Play play) {
    int verdict = 2;
    try (Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[1]))) {
      deployment.start(small, large, script);
      boolean held = play.play(deployment, !"0".equals(System.getenv("TROUBLE")));
      deployment.record.line("rule " + (held ? "held" : "broken"));
      verdict = held ? 0 : 1;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(verdict);
  }

  private void start(int small, int large, Engine.Script script) throws Exception {
    List<NameService.Entry> entries = new ArrayList<>();
    String[] zones = {"sala-norte", "sala-centro", "sala-sur"};
    for (int i = 0; i < small + large; i++) {
      boolean isSmall = i < small;
      Engine engine = new Engine("s-" + i, isSmall ? 8 : 16, record, script);
      engines.add(engine);
      NameService.Entry entry =
          new NameService.Entry(
              engine.id, zones[i % 3], isSmall ? "comun-8" : "grande-16", engine.port(), 0);
      entries.add(entry);
      names.add(entry);
    }
    gateway.start(names.port(), Sede.known(1, entries), Sede.SETTINGS);
    record.line("gateway is ready");
  }

  /** Records a line of the outcome and prints it. */
  void report(String text) {
    record.line(text);
    System.out.println(text);
  }

  @Override
  public void close() throws Exception {
    gateway.close();
    for (Engine engine : engines) {
      engine.close();
    }
    names.close();
    record.close();
    Files.copy(
        folder.resolve("gateway.log"),
        recordFile.resolveSibling("gateway.log"),
        StandardCopyOption.REPLACE_EXISTING);
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
