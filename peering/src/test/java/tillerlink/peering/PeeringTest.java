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

/** Membership and components over several processes on loopback. */
class PeeringTest {
  @TempDir private Path folder;

  private static String at(TestGateway gateway) {
    return "127.0.0.1:" + gateway.udp;
  }

  @Test
  void membersJoinPauseAndLeave() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      TestGateway n2 = cluster.start("n2", "-", at(n1));
      TestGateway n3 = cluster.start("n3", "-", at(n1));
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
      cluster.awaitMembers(n2, "n1 REACHABLE n3 REACHABLE");
      cluster.awaitMembers(n3, "n1 REACHABLE n2 REACHABLE");
      sendGarbage(n1);
      GatewayCluster.signal(n2, "STOP");
      cluster.awaitMembers(n1, "n2 (SUSPECTED|GONE) n3 REACHABLE");
      cluster.awaitMembers(n3, "n1 REACHABLE n2 (SUSPECTED|GONE)");
      GatewayCluster.signal(n2, "CONT");
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
      String back = cluster.await(n2, "/v1/members", body -> !body.contains("\"away\":0"));
      assertFalse(back.contains("\"incarnation\":1,\"yielded\""), back);
      n3.process.destroy();
      cluster.awaitMembers(n1, "n2 REACHABLE n3 LEFT");
      cluster.awaitMembers(n2, "n1 REACHABLE n3 LEFT");
      assertTrue(n3.process.waitFor(30, TimeUnit.SECONDS));
      cluster.await(
          n1, "/v1/members", body -> body.matches(".*\"OVERSIZED\":\\d+,\"GARBLED\":\\d+.*"));
      cluster.start("n3", "-", at(n1));
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
    }
  }

  /** Datagrams of random bytes and sizes, each from another port; they only raise counters. */
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
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      TestGateway n1 = cluster.start("n1", "the secret of this fleet", "");
      cluster.start("n2", "the secret of another", at(n1));
      cluster.start("n3", "-", at(n1));
      TestGateway n4 = cluster.start("n4", "the secret of this fleet", at(n1));
      cluster.await(
          n1,
          "/v1/members",
          body -> body.contains("\"FORGED\":") && body.contains("\"UNSEALED\":"));
      cluster.awaitMembers(n1, "n4 REACHABLE");
      cluster.awaitMembers(n4, "n1 REACHABLE");
    }
  }

  /**
   * Messages of all sizes go to the component of that number and back; a persisted value is read by
   * the next process.
   */
  @Test
  void componentsSendMessagesAndPersistValues() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      TestGateway n1 = cluster.start("n1", "the secret of this fleet", "");
      TestGateway n2 = cluster.start("n2", "the secret of this fleet", at(n1));
      cluster.awaitMembers(n1, "n2 REACHABLE");
      cluster.awaitMembers(n2, "n1 REACHABLE");
      for (int size : new int[] {1, 1100, 11_999}) {
        byte[] body = "x".repeat(size).getBytes(StandardCharsets.US_ASCII);
        String back = "";
        for (int i = 0; i < 10 && back.isEmpty(); i++) {
          back = cluster.call(n1, "/v1/echo/send/n2", body);
        }
        assertEquals(size, back.length());
      }
      assertEquals(
          "kept",
          cluster.call(n1, "/v1/echo/keep", "what it said".getBytes(StandardCharsets.US_ASCII)));
      n1.process.destroyForcibly().waitFor();
      cluster.start("n1", "the secret of this fleet", at(n2));
      cluster.await(n1, "/v1/echo/found", "what it said"::equals);
    }
  }

  /**
   * Guards the verdicts of the test harness: a violated invariant ends the process with an exit
   * code and a line of its own.
   */
  @Test
  void aViolatedInvariantEndsTheProcess() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(folder)) {
      for (String how : new String[] {"break", "fault"}) {
        TestGateway n1 = cluster.start("n1", "-", "");
        cluster.awaitMembers(n1, "");
        cluster.await(n1, "/v1/members", body -> body.contains("\"self\""));
        cluster.call(n1, "/v1/echo/" + how, null);
        assertTrue(n1.process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(GatewayCluster.EXIT_CODE_VIOLATION, n1.process.exitValue());
      }
      String log = cluster.log(cluster.start("n1", "-", ""));
      assertTrue(log.contains("INVARIANT invariant broken: planted, to be seen\n"), log);
      assertTrue(
          log.contains(
              "INVARIANT an internal fault: java.lang.IllegalStateException: a fault of this"
                  + " part\n"),
          log);
    }
  }
}
