package tillerlink.fakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.Dns;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EngineCommand;
import tillerlink.net.wire.EngineResponseParser;
import tillerlink.net.wire.HttpResponse;

/** Tests that the fakes and the gateway understand each other, however the bytes are split. */
class FakesTest {
  private static byte[] concatenated(byte[]... parts) {
    return String.join(
            "", Arrays.stream(parts).map(p -> new String(p, StandardCharsets.ISO_8859_1)).toList())
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  @Test
  void commandsAreParsedAtEverySplit() {
    byte[] all =
        concatenated(
            EngineCommand.run(
                "a1", "look", 500, "k", "SELECT 1\r\n".getBytes(StandardCharsets.UTF_8)),
            EngineCommand.fetchPage("a1", 2),
            EngineCommand.checkLiveness("0"),
            EngineCommand.cancel("a1"),
            EngineCommand.release("a1"),
            EngineCommand.run("a2", "load", 9, null, "x".getBytes(StandardCharsets.UTF_8)));
    for (int split = 0; split <= all.length; split++) {
      EngineCommandParser parser = new EngineCommandParser();
      StringBuilder parsed = new StringBuilder();
      for (byte[] part :
          List.of(Arrays.copyOf(all, split), Arrays.copyOfRange(all, split, all.length))) {
        parser.feed(part);
        for (EngineCommandParser.Command command = parser.next();
            command != null;
            command = parser.next()) {
          parsed
              .append(command.word())
              .append(' ')
              .append(command.id())
              .append(' ')
              .append(command.requestClass())
              .append(command.limit())
              .append(command.nonce())
              .append(command.page())
              .append(command.statement().length)
              .append('|');
        }
      }
      assertEquals(
          "WANT a1 look500k010|TURN a1 0null20|THERE 0 0null00|NEVER_MIND a1 0null00|SHUT a1"
              + " 0null00|WANT a2 load9null01|",
          parsed.toString(),
          "split " + split);
    }
    for (String malformed :
        List.of(
            "hello\r\n",
            "want a - x\r\n",
            "want a -\r\n",
            "turn a\r\n",
            "want a - 1\r\nxy\r\n",
            "turn a -1\r\n")) {
      EngineCommandParser parser = new EngineCommandParser();
      parser.feed(malformed.getBytes(StandardCharsets.UTF_8));
      assertThrows(IllegalArgumentException.class, parser::next, malformed);
    }
  }

  @Test
  void responsesAreParsedAtEverySplit() {
    byte[] all =
        concatenated(
            HttpResponse.continueResponse(),
            HttpResponse.continueAt("/v1/calls/a").encode(),
            HttpResponse.problem(503, "Full", 250).encode(),
            HttpResponse.done().closingConnection().encode());
    for (int split = 0; split <= all.length; split++) {
      HttpResponseParser parser = new HttpResponseParser();
      StringBuilder parsed = new StringBuilder();
      for (byte[] part :
          List.of(Arrays.copyOf(all, split), Arrays.copyOfRange(all, split, all.length))) {
        parser.feed(part);
        for (HttpResponseParser.Response response = parser.next();
            response != null;
            response = parser.next()) {
          parsed
              .append(response.status())
              .append(' ')
              .append(response.retryAfter())
              .append(response.closes())
              .append(response.continuationPath())
              .append('|');
        }
      }
      assertEquals(
          "200 0false/v1/calls/a|503 250falsenull|200 0truenull|",
          parsed.toString(),
          "split " + split);
    }
    HttpResponseParser parser = new HttpResponseParser();
    parser.feed("SMTP\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    assertThrows(IllegalArgumentException.class, parser::next);
  }

  @Test
  void engineRepliesAreParsedByTheGateway() {
    EngineResponseParser parser = new EngineResponseParser();
    parser.feed(
        concatenated(
            EngineReply.ok("a", 2, Results.page("a", 0)).line(),
            EngineReply.batch("a", 1, Results.page("a", 1)).line(),
            EngineReply.refused("a").line(),
            EngineReply.error("a").line(),
            EngineReply.yes("0").line(),
            EngineReply.progress("a", "frac", 0.25).line()));
    StringBuilder parsed = new StringBuilder();
    for (var reply = parser.next(); reply != null; reply = parser.next()) {
      parsed
          .append(reply.word())
          .append(' ')
          .append(reply.number())
          .append(' ')
          .append(reply.level())
          .append('|');
    }
    assertEquals(
        "OK 2 0.0|BATCH 1 0.0|REFUSED -1 0.0|ERROR -1 0.0|YES -1 0.0|PROGRESS -1 0.25|",
        parsed.toString());
  }

  @Test
  void gatewayDecodesTheEncodedEndpointList() {
    List<EndpointEntry> list =
        List.of(
            new EndpointEntry(
                "e1",
                "127.0.0.1",
                5050,
                "east",
                "small-8",
                3,
                Status.READY,
                1.5,
                1_700_000_000_000L),
            new EndpointEntry("e2", "127.0.0.9", 5051, "west", "big-16", 0, Status.DRAINING, 2, 0),
            new EndpointEntry("e3", "127.0.0.3", 5052, "west", "big-16", 0, Status.GONE, 2, 0));
    byte[] encoded = DiscoveryResponse.withId(0xabcd, DiscoveryResponse.of(7, 70_001, list));
    assertEquals(list.subList(0, 2), Dns.parseAnswer(encoded, 0xabcd).entries());
    assertEquals(70_001, Dns.parseAnswer(encoded, 0xabcd).serial());
  }
}
