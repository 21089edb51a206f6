package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.peering.GatewayCluster.TestGateway;

/** Tests membership and components with gateways in several processes on loopback. */
class PeeringTest {
  @TempDir private Path directory;

  private static String udpAddress(TestGateway gateway) {
    return "127.0.0.1:" + gateway.udp;
  }

  @Test
  void membersJoinPauseAndLeave() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      TestGateway n2 = cluster.start("n2", "-", udpAddress(n1));
      TestGateway n3 = cluster.start("n3", "-", udpAddress(n1));
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
      cluster.awaitMembers(n2, "n1 REACHABLE n3 REACHABLE");
      cluster.awaitMembers(n3, "n1 REACHABLE n2 REACHABLE");
      sendGarbage(n1);
      GatewayCluster.signal(n2, "STOP");
      cluster.awaitMembers(n1, "n2 (SUSPECTED|GONE) n3 REACHABLE");
      cluster.awaitMembers(n3, "n1 REACHABLE n2 (SUSPECTED|GONE)");
      GatewayCluster.signal(n2, "CONT");
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
      String response = cluster.await(n2, "/v1/members", body -> !body.contains("\"away\":0"));
      assertFalse(response.contains("\"incarnation\":1,\"yielded\""), response);
      n3.process.destroy();
      cluster.awaitMembers(n1, "n2 REACHABLE n3 LEFT");
      cluster.awaitMembers(n2, "n1 REACHABLE n3 LEFT");
      assertTrue(n3.process.waitFor(30, TimeUnit.SECONDS));
      cluster.await(
          n1, "/v1/members", body -> body.matches(".*\"OVERSIZED\":\\d+,\"GARBLED\":\\d+.*"));
      cluster.start("n3", "-", udpAddress(n1));
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
    }
  }

  /**
   * Sends datagrams of random bytes and sizes, each from another port. They must only increase the
   * counters of refused datagrams.
   */
  private static void sendGarbage(TestGateway gateway) throws IOException {
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 300; i++) {
      try (DatagramSocket socket = new DatagramSocket()) {
        byte[] bytes = new byte[i == 0 ? 0 : random.nextInt(5000)];
        random.nextBytes(bytes);
        socket.send(
            new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), gateway.udp));
      }
    }
  }

  @Test
  void onlyGatewaysWithTheSecretJoin() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "the secret of this fleet", "");
      cluster.start("n2", "the secret of another", udpAddress(n1));
      cluster.start("n3", "-", udpAddress(n1));
      TestGateway n4 = cluster.start("n4", "the secret of this fleet", udpAddress(n1));
      cluster.await(
          n1,
          "/v1/members",
          body -> body.contains("\"FORGED\":") && body.contains("\"UNSEALED\":"));
      cluster.awaitMembers(n1, "n4 REACHABLE");
      cluster.awaitMembers(n4, "n1 REACHABLE");
    }
  }

  /**
   * Messages of 1 to 11,999 bytes reach the component with the addressed number and return; a
   * persisted value is read by the next process of the same name.
   */
  @Test
  void componentsSendMessagesAndPersistValues() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "the secret of this fleet", "");
      TestGateway n2 = cluster.start("n2", "the secret of this fleet", udpAddress(n1));
      cluster.awaitMembers(n1, "n2 REACHABLE");
      cluster.awaitMembers(n2, "n1 REACHABLE");
      for (int size : new int[] {1, 1100, 11_999}) {
        byte[] body = "x".repeat(size).getBytes(StandardCharsets.US_ASCII);
        String response = "";
        for (int i = 0; i < 10 && response.isEmpty(); i++) {
          response = cluster.call(n1, "/v1/echo/send/n2", body);
        }
        assertEquals(size, response.length());
      }
      assertEquals(
          "kept",
          cluster.call(n1, "/v1/echo/keep", "stored text".getBytes(StandardCharsets.US_ASCII)));
      n1.process.destroyForcibly().waitFor();
      cluster.start("n1", "the secret of this fleet", udpAddress(n2));
      cluster.await(n1, "/v1/echo/found", "stored text"::equals);
    }
  }

  /**
   * A violated invariant or an unexpected exception ends the process with a specific exit code and
   * log line. The test harness relies on both, and would otherwise miss violations.
   */
  @Test
  void invariantViolationsAndExceptionsEndTheProcess() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      for (String action : new String[] {"break", "fault"}) {
        TestGateway n1 = cluster.start("n1", "-", "");
        cluster.awaitMembers(n1, "");
        cluster.await(n1, "/v1/members", body -> body.contains("\"self\""));
        cluster.call(n1, "/v1/echo/" + action, null);
        assertTrue(n1.process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(GatewayCluster.EXIT_CODE_VIOLATION, n1.process.exitValue());
      }
      String log = cluster.log(cluster.start("n1", "-", ""));
      assertTrue(log.contains("INVARIANT invariant broken: injected fault, second line\n"), log);
      assertTrue(
          log.contains(
              "INVARIANT an internal fault: java.lang.IllegalStateException: exception thrown by"
                  + " the test component\n"),
          log);
    }
  }
}
