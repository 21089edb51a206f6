package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** The frame of a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
public abstract class Case {
  /** A case ends after this time, whatever it waits for. */
  private static final long LIMIT_MS = 110_000;

  /** Thrown when the case could not run as planned. */
  public static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public CannotRun(String reason) {
      super(reason);
    }
  }

  /** Whether the disruption takes place. */
  protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  protected Path folder;
  protected Path temporary;
  protected Record record;

  /** Plays the case and returns whether the rule held. Ends all that it started. */
  protected abstract boolean play() throws Exception;

  protected final void run(String[] args) {
    int code = 2;
    try {
      folder = Path.of(args[0]);
      Files.deleteIfExists(folder.resolve("gateway.log"));
      temporary = Files.createTempDirectory("review");
      record = new Record(folder.resolve("record.txt"));
      Runtime.getRuntime().addShutdownHook(new Thread(Case::endProcesses));
      record.line("trouble: " + trouble);
      Thread watchdog =
          new Thread(
              () -> {
                try {
                  Thread.sleep(LIMIT_MS);
                } catch (InterruptedException e) {
                  return;
                }
                System.out.println("could not run: took too long");
                endProcesses();
                Runtime.getRuntime().halt(2);
              });
      watchdog.setDaemon(true);
      watchdog.start();
      code = play() ? 0 : 1;
      String verdict = code == 0 ? "the rule held" : "the rule was broken";
      record.line(verdict);
      System.out.println(verdict);
    } catch (Throwable e) {
      System.out.println("could not run: " + e);
      if (!(e instanceof CannotRun)) {
        e.printStackTrace(System.out);
      }
    } finally {
      endProcesses();
      deleteTemporary();
    }
    System.exit(code);
  }

  /** Ends all processes that this one started. */
  private static void endProcesses() {
    ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly);
  }

  private void deleteTemporary() {
    if (temporary != null) {
      try (Stream<Path> files = Files.walk(temporary)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (java.io.IOException e) {
        // The folder stays.
      }
    }
  }

  /** Prints a line and writes it to the record. */
  protected final void say(String text) {
    record.line(text);
    System.out.println(text);
  }
}
