import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends forty loads at once on one connection and goes before it has read an answer. No
 * attempt for it may begin later than 0.1 s after that.
 */
final class GoneCase {
  private static final int LOADS = 40;
  private static final int DEADLINE_MS = 20_000;
  private static final int WORK_MS = 4800;
  private static final int STAYS_MS = 200;

  /** An attempt may begin 0.1 s after the client has gone; each limit is 50 ms longer on sockets. */
  private static final double ALLOWED_MS = 100 + 50;

  private static final byte[] ROWS = "a\t1\tx\nb\t2\ty\n".getBytes(StandardCharsets.US_ASCII);
  private static final Map<String, Double> BEGAN = new ConcurrentHashMap<>();

  private GoneCase() {}

  public static void main(String[] args) {
    Deployment.run(
        args,
        4,
        2,
        new Engine.Script() {
          @Override
          public void onWant(Engine engine, Engine.Want want) {
            BEGAN.merge(want.id(), want.at(), Math::max);
          }

          @Override
          public Engine.Job job(Engine engine, Engine.Want want) {
            return new Engine.Job(WORK_MS, 2, ROWS);
          }
        },
        GoneCase::play);
  }

  private static boolean play(Deployment deployment, boolean trouble) throws Exception {
    Thread.sleep(4000);
    Client client = new Client(deployment.gateway.port);
    StringBuilder all = new StringBuilder();
    for (int i = 1; i <= LOADS; i++) {
      String id = String.format("%016x", i);
      all.append(
          Client.post(
              "carga",
              id,
              DEADLINE_MS,
              "X-Operation-Key: " + id + id + "\r\nX-Estimate-Ms: " + WORK_MS + ".0\r\n",
              "INSERT INTO sales_" + i % 13 + ".orders SELECT a, b, c FROM staging.x"));
    }
    client.send(all.toString());
    deployment.record.line("client sent " + LOADS + " loads at once");
    double goneAt = Double.MAX_VALUE;
    if (trouble) {
      Thread.sleep(STAYS_MS);
      client.close();
      goneAt = deployment.record.line("client closed its connection");
      Thread.sleep(16_000);
    } else {
      fetchAll(deployment, client);
    }
    int late = 0;
    for (Map.Entry<String, Double> began : new TreeMap<>(BEGAN).entrySet()) {
      if (began.getValue() > goneAt + ALLOWED_MS) {
        late++;
        deployment.record.line(
            String.format(
                "attempt for %s began %.0f ms after its client had gone",
                began.getKey(), began.getValue() - goneAt));
      }
    }
    deployment.report(
        "loads begun " + BEGAN.size() + " of " + LOADS + ", after the client had gone " + late
            + "; gateway " + (deployment.gateway.alive() ? "runs" : "crashed"));
    return late == 0 && deployment.gateway.alive();
  }

  /** Stays and fetches each result. */
  private static void fetchAll(Deployment deployment, Client client) throws Exception {
    List<String> paths = new ArrayList<>();
    for (int i = 0; i < LOADS; i++) {
      Client.Answer answer = client.read(DEADLINE_MS);
      if (answer.next() != null) {
        paths.add(answer.next());
      }
    }
    for (String path : paths) {
      client.send(Client.get(path));
      deployment.record.line("client got " + client.read(DEADLINE_MS).status() + " at " + path);
    }
    client.close();
  }
}
