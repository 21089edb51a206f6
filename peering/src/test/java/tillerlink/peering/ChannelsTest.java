package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.peering.Gateways.Gateway;

/** Channels over processes and the HTTP door. */
class ChannelsTest {
  @TempDir private Path folder;

  private static String append(Gateways all, Gateway gateway, String json)
      throws InterruptedException {
    return all.call(gateway, "/v1/channels/news", json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void whatIsWrittenAnywhereIsStableEverywhereAndSurvivesAKill() throws Exception {
    try (Gateways all = new Gateways(folder)) {
      Gateway n1 = all.start("n1", "-", "");
      String seed = "127.0.0.1:" + n1.udp;
      Gateway n2 = all.start("n2", "-", seed);
      Gateway n3 = all.start("n3", "-", seed);
      all.awaitSeen(n1, "n2 REACHABLE n3 REACHABLE");
      String first = append(all, n1, "{\"kind\":\"cue\",\"cue\":\"c1\",\"text\":\"Guten Tag\"}");
      assertTrue(
          first.matches("\\{\"id\":\"[0-9a-f]+-1-[0-9a-f]+\",\"written_ms\":\\d+,\"again\":false}"),
          first);
      all.await(n2, "/v1/channels/news/log/0", page -> page.contains("\"stable\":1,"));
      append(all, n2, "{\"kind\":\"correction\",\"cue\":\"c1\",\"text\":\"Guten Abend\"}");
      all.await(n3, "/v1/channels/news/log/0", page -> page.contains("\"stable\":2,"));
      n3.process.destroyForcibly().waitFor();
      append(all, n1, "{\"kind\":\"air\",\"cue\":\"c1\",\"airs_ms\":4000000000000}");
      all.start("n3", "-", seed);
      String page = all.await(n3, "/v1/channels/news/log/0", it -> it.contains("\"stable\":3,"));
      assertEquals(
          page, all.await(n1, "/v1/channels/news/log/0", it -> it.contains("\"stable\":3,")));
      String cues = all.call(n3, "/v1/channels/news/cues", null);
      assertTrue(
          cues.contains(
              "\"text\":\"Guten"
                  + " Abend\",\"retracted\":false,\"airs_ms\":4000000000000,\"flags\":[]"),
          cues);
      all.await(n3, "/v1/channels", state -> state.contains("\"votes\":true"));
    }
  }

  @Test
  void whatCannotBeAppendedIsTurnedDownInPlainWords() throws Exception {
    try (Gateways all = new Gateways(folder)) {
      Gateway n1 = all.start("n1", "-", "");
      all.awaitSeen(n1, "");
      all.await(n1, "/v1/channels", state -> state.contains("\"channels\":[]"));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"'song' is no kind: cue, correction, retraction,"
              + " air or note\"}",
          append(all, n1, "{\"kind\":\"song\"}"));
      assertEquals(
          "{\"problem\":\"Malformed\",\"words\":\"all but a note name a cue, and a note names"
              + " none\"}",
          append(all, n1, "{\"kind\":\"cue\",\"text\":\"t\"}"));
      assertEquals("{\"problem\":\"Unknown\"}", all.call(n1, "/v1/channels/news/log/x", null));
      String alone = append(all, n1, "{\"kind\":\"note\",\"text\":\"alone\"}");
      assertTrue(alone.contains("\"again\":false"), alone);
      String page = all.call(n1, "/v1/channels/news/log/0", null);
      assertTrue(page.contains("\"stable\":0,") && page.contains("\"text\":\"alone\""), page);
    }
  }
}
