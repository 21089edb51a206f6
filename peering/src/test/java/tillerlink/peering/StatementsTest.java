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

/** Tests prepared statements and their HTTP interface with gateways in several processes. */
class StatementsTest {
  private static final String STATEMENT =
      "{\"text\":\"select * from orders_17.orders where city = $1\",\"parameters\":[\"text\"],"
          + "\"groups\":[17],\"uses\":[\"17:orders.city\"],\"track\":\"dash\"}";

  private static final long MAX_RELEASE_MS = 1000;

  @TempDir private Path directory;

  private static String call(GatewayCluster cluster, TestGateway gateway, String path, String json)
      throws InterruptedException {
    return cluster.call(gateway, path, json == null ? null : json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void statementsAreReplicatedAndRepreparedOnceAfterASchemaChange() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      String seed = "127.0.0.1:" + n1.udp;
      TestGateway n2 = cluster.start("n2", "-", seed);
      TestGateway n3 = cluster.start("n3", "-", seed);
      TestGateway n4 = cluster.start("n4", "-", seed);
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE n4 REACHABLE");
      String first = call(cluster, n4, "/v1/statements/top", STATEMENT);
      while (first.contains("\"problem\":\"Unknown\"")) {
        first = call(cluster, n4, "/v1/statements/top", STATEMENT);
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

  /** Prepares the statement; makes up to 20 attempts because voters may still be starting. */
  private static void prepare(GatewayCluster cluster, TestGateway gateway)
      throws InterruptedException {
    String body = "";
    for (int i = 0; i < 20 && !body.contains("generation"); i++) {
      body = call(cluster, gateway, "/v1/statements/top", STATEMENT);
    }
    assertTrue(body.contains("generation"), body);
  }

  private static boolean hasLease(String schema) {
    return schema.matches("(?s).*\"lease_ms\":[1-9].*");
  }

  /**
   * A gateway that shuts down gracefully releases its lease. Otherwise the lease would stay valid
   * for most of 2 s after the process ended and delay schema changes.
   */
  @Test
  void gracefulShutdownReleasesTheLease() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      String seed = "127.0.0.1:" + n1.udp;
      cluster.start("n2", "-", seed);
      cluster.start("n3", "-", seed);
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
      prepare(cluster, n1);
      List<Long> latenciesMs = new ArrayList<>();
      // A voter that has just started has no state yet, and a busy machine may delay a release, so
      // one quick release is sufficient.
      for (int i = 0;
          i < 4
              && (latenciesMs.isEmpty()
                  || latenciesMs.get(latenciesMs.size() - 1) > MAX_RELEASE_MS);
          i++) {
        TestGateway n4 = cluster.start("n4", "-", seed);
        cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE n4 REACHABLE");
        cluster.await(n4, "/v1/statements/top", body -> body.contains("\"state\":\"ready\""));
        // No request class accepts the run, but the gateway acquires the lease anyway.
        call(cluster, n4, "/v1/run/top", "{\"parameters\":[\"a\"]}");
        String before = cluster.await(n4, "/v1/schemas/17", StatementsTest::hasLease);
        n4.process.destroy();
        assertTrue(n4.process.waitFor(30, TimeUnit.SECONDS), cluster.log(n4));
        long startNanos = System.nanoTime();
        call(cluster, n1, "/v1/schemas/17", "{}");
        cluster.await(n1, "/v1/schemas/17", body -> !version(body).equals(version(before)));
        latenciesMs.add((System.nanoTime() - startNanos) / 1_000_000);
      }
      System.out.println("ms from a schema change to its effect after a shutdown: " + latenciesMs);
      assertTrue(
          latenciesMs.get(latenciesMs.size() - 1) <= MAX_RELEASE_MS,
          "ms from the change to its effect: " + latenciesMs);
    }
  }

  private static String version(String schema) {
    return schema.replaceFirst("(?s).*\"version\":([0-9]+).*", "$1");
  }

  /**
   * A single voter of three can't determine the outcome of a request. Its client must receive an
   * answer that says so before the process ends.
   */
  @Test
  void pendingRequestsAreAnsweredBeforeTheProcessEnds() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      cluster.await(n1, "/v1/schemas/17", body -> body.contains("\"version\":1,"));
      CompletableFuture<String> response =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return call(cluster, n1, "/v1/statements/top", STATEMENT);
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
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
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
          call(cluster, n1, "/v1/statements/top", STATEMENT.replace("[\"text\"]", "[]")));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"group: a number is wanted\"}",
          call(cluster, n1, "/v1/schemas/x", "{}"));
      assertEquals(
          "{\"problem\":\"Unknown\"}",
          call(cluster, n1, "/v1/run/top", "{\"parameters\":[\"a\"]}"));
    }
  }
}
