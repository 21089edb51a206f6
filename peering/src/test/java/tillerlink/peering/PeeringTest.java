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
import tillerlink.peering.Gateways.Gateway;

/** Several processes on loopback that share what they know. */
class PeeringTest {
  @TempDir private Path folder;

  private static String at(Gateway gateway) {
    return "127.0.0.1:" + gateway.udp;
  }

  @Test
  void meetPauseAndLeave() throws Exception {
    try (Gateways all = new Gateways(folder)) {
      Gateway n1 = all.start("n1", "-", "");
      Gateway n2 = all.start("n2", "-", at(n1));
      Gateway n3 = all.start("n3", "-", at(n1));
      all.awaitSeen(n1, "n2 REACHABLE n3 REACHABLE");
      all.awaitSeen(n2, "n1 REACHABLE n3 REACHABLE");
      all.awaitSeen(n3, "n1 REACHABLE n2 REACHABLE");
      garbage(n1);
      Gateways.signal(n2, "STOP");
      all.awaitSeen(n1, "n2 (SUSPECTED|GONE) n3 REACHABLE");
      all.awaitSeen(n3, "n1 REACHABLE n2 (SUSPECTED|GONE)");
      Gateways.signal(n2, "CONT");
      all.awaitSeen(n1, "n2 REACHABLE n3 REACHABLE");
      String back = all.await(n2, "/v1/members", said -> !said.contains("\"away\":0"));
      assertFalse(back.contains("\"incarnation\":1,\"yielded\""), back);
      n3.process.destroy();
      all.awaitSeen(n1, "n2 REACHABLE n3 LEFT");
      all.awaitSeen(n2, "n1 REACHABLE n3 LEFT");
      assertTrue(n3.process.waitFor(30, TimeUnit.SECONDS));
      all.await(n1, "/v1/members", said -> said.matches(".*\"OVERSIZED\":\\d+,\"GARBLED\":\\d+.*"));
      all.start("n3", "-", at(n1));
      all.awaitSeen(n1, "n2 REACHABLE n3 REACHABLE");
    }
  }

  /** Costs counters, whatever its size and from however many ports it comes. */
  private static void garbage(Gateway gateway) throws IOException {
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 300; i++) {
      try (DatagramSocket socket = new DatagramSocket()) {
        byte[] bytes = new byte[i == 0 ? 0 : random.nextInt(5000)];
        random.nextBytes(bytes);
        socket.send(
            new DatagramPacket(
                bytes, bytes.length, InetAddress.getByName("127.0.0.1"), gateway.udp));
      }
    }
  }

  @Test
  void onlyThoseWhoKnowTheSecret() throws Exception {
    try (Gateways all = new Gateways(folder)) {
      Gateway n1 = all.start("n1", "the secret of this fleet", "");
      all.start("n2", "the secret of another", at(n1));
      all.start("n3", "-", at(n1));
      Gateway n4 = all.start("n4", "the secret of this fleet", at(n1));
      all.await(
          n1,
          "/v1/members",
          said -> said.contains("\"FORGED\":") && said.contains("\"UNSEALED\":"));
      all.awaitSeen(n1, "n4 REACHABLE");
      all.awaitSeen(n4, "n1 REACHABLE");
    }
  }

  /**
   * Messages of all sizes go to the part of that number and back; what was kept is found by the
   * next process.
   */
  @Test
  void partsSendAndKeep() throws Exception {
    try (Gateways all = new Gateways(folder)) {
      Gateway n1 = all.start("n1", "the secret of this fleet", "");
      Gateway n2 = all.start("n2", "the secret of this fleet", at(n1));
      all.awaitSeen(n1, "n2 REACHABLE");
      all.awaitSeen(n2, "n1 REACHABLE");
      for (int size : new int[] {1, 1100, 11_999}) {
        byte[] body = "x".repeat(size).getBytes(StandardCharsets.US_ASCII);
        String back = "";
        for (int i = 0; i < 10 && back.isEmpty(); i++) {
          back = all.call(n1, "/v1/echo/send/n2", body);
        }
        assertEquals(size, back.length());
      }
      assertEquals(
          "kept",
          all.call(n1, "/v1/echo/keep", "what it said".getBytes(StandardCharsets.US_ASCII)));
      n1.process.destroyForcibly().waitFor();
      all.start("n1", "the secret of this fleet", at(n2));
      all.await(n1, "/v1/echo/found", "what it said"::equals);
    }
  }

  /**
   * Guards the rig's verdicts: a rule that a part broke ends the process with a code and a line of
   * its own.
   */
  @Test
  void aBrokenInvariantEndsTheProcess() throws Exception {
    try (Gateways all = new Gateways(folder)) {
      for (String how : new String[] {"break", "fault"}) {
        Gateway n1 = all.start("n1", "-", "");
        all.awaitSeen(n1, "");
        all.await(n1, "/v1/members", said -> said.contains("\"self\""));
        all.call(n1, "/v1/echo/" + how, null);
        assertTrue(n1.process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(Gateways.BROKEN, n1.process.exitValue());
      }
      String log = all.log(all.start("n1", "-", ""));
      assertTrue(log.contains("INVARIANT invariant broken: planted, to be seen\n"), log);
      assertTrue(
          log.contains(
              "INVARIANT an internal fault: java.lang.IllegalStateException: a fault of this"
                  + " part\n"),
          log);
    }
  }
}
