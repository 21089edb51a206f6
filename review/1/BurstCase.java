import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bad client sends hundreds of valid requests at once, twice, reads what it is sent and asks for
 * no result. The results are as large as the protocol allows. The gateway must not crash, and the
 * usual clients must get their answers.
 */
final class BurstCase {
  private static final String[] CLASSES = {"consulta", "informe", "carga"};
  private static final int[] DEADLINES_MS = {4000, 25_000, 20_000};
  private static final int[] WORK_MS = {130, 1600, 1000};
  /** The estimates that clients send; those of heavy classes are three times too high. */
  private static final int[] ESTIMATE_MS = {130, 4800, 3000};

  private static final int[] THREADS = {1, 4, 2};
  private static final int USUAL_PER_SECOND = 10;
  private static final int FIRST_AT_MS = 4000;
  private static final int FIRST = 120;
  private static final int SECOND_AT_MS = 10_000;
  private static final int SECOND = 960;
  private static final int END_MS = 22_000;

  /** 48,000 bytes of rows of three text columns, two of them empty. */
  private static final byte[] ROWS = "1\t\t\n".repeat(12_000).getBytes(StandardCharsets.US_ASCII);

  private final Deployment deployment;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger ids = new AtomicInteger();

  private BurstCase(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] args) {
    Deployment.run(
        args,
        7,
        3,
        (engine, want) -> {
          int kind = java.util.List.of(CLASSES).indexOf(want.field("cls"));
          return new Engine.Job(WORK_MS[kind], THREADS[kind], ROWS);
        },
        (deployment, trouble) -> new BurstCase(deployment).play(trouble));
  }

  private boolean play(boolean trouble) throws Exception {
    UsualClient usual = new UsualClient(deployment);
    double start = deployment.record.now();
    int bursts = trouble ? 0 : 2;
    for (double at = 0; at < END_MS && deployment.gateway.alive(); at = elapsed(start)) {
      if (bursts == 0 && at >= FIRST_AT_MS) {
        bursts++;
        burst(FIRST, 4);
      } else if (bursts == 1 && at >= SECOND_AT_MS) {
        bursts++;
        burst(SECOND, 30);
      }
      usual.ask();
      Thread.sleep(1000 / USUAL_PER_SECOND);
    }
    usual.await();
    threads.shutdownNow();
    boolean alive = deployment.gateway.alive();
    deployment.report(
        usual
            + "; gateway "
            + (alive ? "runs" : "crashed with exit code " + deployment.gateway.exitCode()));
    return alive && usual.lost.get() == 0;
  }

  private double elapsed(double start) {
    return deployment.record.now() - start;
  }

  private void burst(int count, int connections) {
    deployment.record.line(
        "bad client sends " + count + " requests at once on " + connections + " connections");
    for (int c = 0; c < connections; c++) {
      threads.execute(() -> sendAtOnce(count / connections));
    }
  }

  private void sendAtOnce(int count) {
    try (Client client = new Client(deployment.gateway.port)) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < count; i++) {
        int kind = i % 3;
        String id = String.format("bad00000%08x", ids.incrementAndGet());
        all.append(
            Client.post(
                CLASSES[kind],
                id,
                DEADLINES_MS[kind],
                (kind == 2 ? "X-Operation-Key: " + id + id + "\r\n" : "")
                    + "X-Estimate-Ms: " + ESTIMATE_MS[kind] + ".0\r\n",
                "SELECT a, b, c FROM sales_" + i % 13 + ".orders"));
      }
      client.send(all.toString());
      int taken = 0;
      for (int i = 0; i < count; i++) {
        taken += client.read(10_000).next() != null ? 1 : 0;
      }
      deployment.record.line("bad client: " + taken + " of " + count + " taken on a connection");
      Thread.sleep(20_000);
    } catch (IOException | InterruptedException e) {
      deployment.record.line("bad client's connection ended: " + e.getMessage());
    }
  }
}
