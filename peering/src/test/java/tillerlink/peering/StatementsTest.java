package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.peering.GatewayCluster.TestGateway;

/** Prepared statements over several processes and their HTTP interface. */
class StatementsTest {
  private static final String TOP =
      "{\"text\":\"select * from orders_17.orders where city = $1\",\"parameters\":[\"text\"],"
          + "\"groups\":[17],\"uses\":[\"17:orders.city\"],\"track\":\"dash\"}";

  private static final long QUICK_MS = 1000;

  @TempDir private Path folder;

  private static String call(GatewayCluster cluster, TestGateway gateway, String path, String json)
      throws InterruptedException {
    return cluster.call(gateway, path, json == null ? null : json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void aStatementIsKnownEverywhereAndRepreparedOnceAfterAChange() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      String seed = "127.0.0.1:" + n1.udp;
      TestGateway n2 = cluster.start("n2", "-", seed);
      TestGateway n3 = cluster.start("n3", "-", seed);
      TestGateway n4 = cluster.start("n4", "-", seed);
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE n4 REACHABLE");
      String first = call(cluster, n4, "/v1/statements/top", TOP);
      while (first.contains("\"problem\":\"Unknown\"")) {
        first = call(cluster, n4, "/v1/statements/top", TOP);
      }
      assertTrue(first.matches("\\{\"generation\":\\d+}"), first);
      cluster.await(n2, "/v1/statements/top", body -> body.contains("\"versions\":{\"17\":1}"));
      n3.process.destroyForcibly().waitFor();
      String change =
          call(
              cluster,
              n1,
              "/v1/schemas/17",
              "{\"renamed\":{\"17:orders.city\":\"17:orders.town\"}}");
      assertTrue(change.matches("\\{\"change\":\\d+}"), change);
      cluster.await(n4, "/v1/schemas/17", body -> body.contains("\"version\":2,"));
      String reprepared =
          cluster.await(n4, "/v1/statements/top", body -> body.contains("\"state\":\"ready\""));
      assertTrue(
          reprepared.contains("where town = $1") && reprepared.contains("\"versions\":{\"17\":2}"),
          reprepared);
      cluster.start("n3", "-", seed);
      assertEquals(
          reprepared, cluster.await(n3, "/v1/statements/top", body -> body.contains("town")));
    }
  }

  /** Prepares the statement, trying again until all voters are up. */
  private static void prepare(GatewayCluster cluster, TestGateway gateway)
      throws InterruptedException {
    String body = "";
    for (int i = 0; i < 20 && !body.contains("generation"); i++) {
      body = call(cluster, gateway, "/v1/statements/top", TOP);
    }
    assertTrue(body.contains("generation"), body);
  }

  private static boolean holdsLease(String schema) {
    return schema.matches("(?s).*\"lease_ms\":[1-9].*");
  }

  /**
   * A gateway that shuts down in order releases its lease, which otherwise would be valid for most
   * of 2 s after its end.
   */
  @Test
  void aGatewayThatLeavesReleasesItsLease() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      String seed = "127.0.0.1:" + n1.udp;
      cluster.start("n2", "-", seed);
      cluster.start("n3", "-", seed);
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
      prepare(cluster, n1);
      List<Long> latenciesMs = new ArrayList<>();
      // A voter that has just started knows nothing yet, and a busy machine may slow one down: one
      // quick release is enough.
      for (int i = 0;
          i < 4 && (latenciesMs.isEmpty() || latenciesMs.get(latenciesMs.size() - 1) > QUICK_MS);
          i++) {
        TestGateway n4 = cluster.start("n4", "-", seed);
        cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE n4 REACHABLE");
        cluster.await(n4, "/v1/statements/top", body -> body.contains("\"state\":\"ready\""));
        // No request class takes it; its lease is acquired all the same.
        call(cluster, n4, "/v1/run/top", "{\"parameters\":[\"a\"]}");
        String before = cluster.await(n4, "/v1/schemas/17", StatementsTest::holdsLease);
        n4.process.destroy();
        assertTrue(n4.process.waitFor(30, TimeUnit.SECONDS), cluster.log(n4));
        long from = System.nanoTime();
        call(cluster, n1, "/v1/schemas/17", "{}");
        cluster.await(n1, "/v1/schemas/17", body -> !version(body).equals(version(before)));
        latenciesMs.add((System.nanoTime() - from) / 1_000_000);
      }
      System.out.println("ms to effect after a leave: " + latenciesMs);
      assertTrue(
          latenciesMs.get(latenciesMs.size() - 1) <= QUICK_MS, "ms to effect: " + latenciesMs);
    }
  }

  private static String version(String schema) {
    return schema.replaceFirst("(?s).*\"version\":([0-9]+).*", "$1");
  }

  /**
   * One voter of three can't know the outcome of a request; its client is answered so before the
   * process ends.
   */
  @Test
  void waitingRequestsAreAnsweredBeforeTheProcessEnds() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      cluster.await(n1, "/v1/schemas/17", body -> body.contains("\"version\":1,"));
      CompletableFuture<String> response =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return call(cluster, n1, "/v1/statements/top", TOP);
                } catch (InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      Thread.sleep(500);
      n1.process.destroy();
      assertEquals(
          "{\"problem\":\"Unknown\",\"words\":\"this gateway ends before it heard what became of"
              + " it\"}",
          response.get());
      assertTrue(n1.process.waitFor(30, TimeUnit.SECONDS), cluster.log(n1));
    }
  }

  @Test
  void malformedRequestsAreRejectedWithAReason() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      cluster.await(n1, "/v1/schemas/17", body -> body.contains("\"version\":1,"));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"no JSON: line 1, column 1\"}",
          call(cluster, n1, "/v1/statements/top", "x"));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"effect: pure, receipted, effectful\"}",
          call(cluster, n1, "/v1/statements/top", "{\"effect\":\"some\"}"));
      assertEquals(
          "{\"problem\":\"Refused\",\"words\":\"parameter $1 has no type\"}",
          call(cluster, n1, "/v1/statements/top", TOP.replace("[\"text\"]", "[]")));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"group: a number is wanted\"}",
          call(cluster, n1, "/v1/schemas/x", "{}"));
      assertEquals(
          "{\"problem\":\"Unknown\"}",
          call(cluster, n1, "/v1/run/top", "{\"parameters\":[\"a\"]}"));
    }
  }
}
