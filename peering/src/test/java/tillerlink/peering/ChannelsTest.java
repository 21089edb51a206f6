package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.peering.GatewayCluster.TestGateway;

/** Tests channels and their HTTP interface with gateways in several processes. */
class ChannelsTest {
  @TempDir private Path directory;

  private static String append(GatewayCluster cluster, TestGateway gateway, String json)
      throws InterruptedException {
    return cluster.call(gateway, "/v1/channels/news", json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void appendsBecomeStableOnAllGatewaysAndSurviveAKill() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      String seed = "127.0.0.1:" + n1.udp;
      TestGateway n2 = cluster.start("n2", "-", seed);
      TestGateway n3 = cluster.start("n3", "-", seed);
      cluster.awaitMembers(n1, "n2 REACHABLE n3 REACHABLE");
      String first =
          append(cluster, n1, "{\"kind\":\"cue\",\"cue\":\"c1\",\"text\":\"Guten Tag\"}");
      assertTrue(
          first.matches("\\{\"id\":\"[0-9a-f]+-1-[0-9a-f]+\",\"written_ms\":\\d+,\"again\":false}"),
          first);
      cluster.await(n2, "/v1/channels/news/log/0", page -> page.contains("\"stable\":1,"));
      append(cluster, n2, "{\"kind\":\"correction\",\"cue\":\"c1\",\"text\":\"Guten Abend\"}");
      cluster.await(n3, "/v1/channels/news/log/0", page -> page.contains("\"stable\":2,"));
      n3.process.destroyForcibly().waitFor();
      append(cluster, n1, "{\"kind\":\"air\",\"cue\":\"c1\",\"airs_ms\":4000000000000}");
      cluster.start("n3", "-", seed);
      String page =
          cluster.await(n3, "/v1/channels/news/log/0", body -> body.contains("\"stable\":3,"));
      assertEquals(
          page,
          cluster.await(n1, "/v1/channels/news/log/0", body -> body.contains("\"stable\":3,")));
      String cues = cluster.call(n3, "/v1/channels/news/cues", null);
      assertTrue(
          cues.contains(
              "\"text\":\"Guten"
                  + " Abend\",\"retracted\":false,\"airs_ms\":4000000000000,\"flags\":[]"),
          cues);
      cluster.await(n3, "/v1/channels", state -> state.contains("\"votes\":true"));
    }
  }

  @Test
  void malformedAppendsAreRejectedWithAReason() throws Exception {
    try (GatewayCluster cluster = new GatewayCluster(directory)) {
      TestGateway n1 = cluster.start("n1", "-", "");
      cluster.awaitMembers(n1, "");
      cluster.await(n1, "/v1/channels", state -> state.contains("\"channels\":[]"));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"'song' is no kind: cue, correction, retraction,"
              + " air or note\"}",
          append(cluster, n1, "{\"kind\":\"song\"}"));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"all but a note name a cue, and a note names"
              + " none\"}",
          append(cluster, n1, "{\"kind\":\"cue\",\"text\":\"t\"}"));
      assertEquals("{\"problem\":\"Unknown\"}", cluster.call(n1, "/v1/channels/news/log/x", null));
      String alone = append(cluster, n1, "{\"kind\":\"note\",\"text\":\"alone\"}");
      assertTrue(alone.contains("\"again\":false"), alone);
      String page = cluster.call(n1, "/v1/channels/news/log/0", null);
      assertTrue(page.contains("\"stable\":0,") && page.contains("\"text\":\"alone\""), page);
    }
  }
}
