package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.Dns;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.net.wire.EngineResponse;
import tillerlink.net.wire.EngineResponseParser;
import tillerlink.net.wire.HttpParseError;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpRequestParser;
import tillerlink.net.wire.ResultEncoder;
import tillerlink.net.wire.StatementTableScanner;

/**
 * What is spoken, without a socket: each machine is fed whole, bytewise and at every split, and
 * must read the same.
 */
class WireTest {
  private static final String CALLS =
      """
      POST /v1/look HTTP/1.1\r
      Host: a\r
      X-Deadline-Ms: 1500\r
      Content-Length: 8\r
      \r
      SELECT 1GET http://a/v1/calls/9?x=1 HTTP/1.1\r
      host: a\r
      Connection: close\r
      \r
      \r
      DELETE /v1/calls/9 HTTP/1.0

      GET  / HTTP/1.1\r
      \r
      """;

  interface Machine {
    String read(byte[] bytes);
  }

  /** What a new machine reads of the bytes in these pieces. */
  private static String read(Supplier<Machine> machines, byte[] bytes, int... cuts) {
    Machine machine = machines.get();
    StringBuilder read = new StringBuilder();
    int from = 0;
    for (int cut : cuts) {
      read.append(machine.read(Arrays.copyOfRange(bytes, from, cut)));
      from = cut;
    }
    return read.append(machine.read(Arrays.copyOfRange(bytes, from, bytes.length))).toString();
  }

  private static String readAnyhow(Supplier<Machine> machines, byte[] bytes) {
    String whole = read(machines, bytes);
    for (int i = 0; i <= bytes.length; i++) {
      assertEquals(whole, read(machines, bytes, i), "split at " + i);
    }
    int[] every = new int[bytes.length];
    Arrays.setAll(every, i -> i);
    assertEquals(whole, read(machines, bytes, every), "byte by byte");
    return whole;
  }

  private static Machine http() {
    HttpRequestParser reader = new HttpRequestParser();
    return bytes -> {
      reader.feed(bytes);
      StringBuilder read = new StringBuilder();
      for (HttpParseResult item = reader.next(); item != null; item = reader.next()) {
        if (item instanceof HttpRequest call) {
          read.append(
              call.method()
                  + " "
                  + call.path()
                  + " "
                  + new TreeMap<>(call.fields())
                  + " '"
                  + text(call.body())
                  + "'"
                  + (call.last() ? " last" : "")
                  + "\n");
        } else if (item instanceof HttpParseError fault) {
          read.append(fault.status() + " " + fault.cause() + "\n");
        }
      }
      return read.toString();
    };
  }

  private static Machine engine() {
    EngineResponseParser reader = new EngineResponseParser();
    return bytes -> {
      StringBuilder read = new StringBuilder();
      try {
        reader.feed(bytes);
        for (EngineResponse response = reader.next(); response != null; response = reader.next()) {
          read.append(
              response.id()
                  + " "
                  + response.word()
                  + " "
                  + response.number()
                  + " "
                  + response.about()
                  + " "
                  + response.level()
                  + " '"
                  + text(response.body()).replace("\n", "\\n").replace("\t", "\\t")
                  + "'\n");
        }
      } catch (IllegalArgumentException e) {
        read.append("fault: ").append(e.getMessage()).append('\n');
      }
      return read.toString();
    };
  }

  @Test
  void clientRequestsReadTheSameHoweverTheyAreSplit() {
    StringBuilder printed = new StringBuilder(readAnyhow(WireTest::http, bytes(CALLS)));
    String head = "POST /v1/look HTTP/1.1\r\nHost: a\r\n";
    for (String bad :
        List.of(
            "GET /\r\n\r\n",
            "GET / HTTP/2.0\r\n\r\n",
            "GET / HTTP/1.1\r\n\r\n",
            "G@T / HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET here HTTP/1.1\r\nHost: a\r\n\r\n",
            head + "Host: b\r\n\r\n",
            head + "X-Deadline-Ms: 1\r\nx-deadline-ms: 2\r\n\r\n",
            head + "X-Space : 1\r\n\r\n",
            head + " folded: 1\r\n\r\n",
            head + "no colon\r\n\r\n",
            head + "A: \u0001\r\n\r\n",
            head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
            head + "Content-Length: -1\r\n\r\n",
            head + "Content-Length: 1000000\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "GET /" + "a".repeat(5000) + " HTTP/1.1\r\n",
            head + ("A" + "b".repeat(90) + ": c\r\n").repeat(200))) {
      String shown = bad.length() > 90 ? bad.substring(0, 60) + "..." : bad;
      printed
          .append(shown.replace("\r\n", "|"))
          .append(" -> ")
          .append(read(WireTest::http, bytes(bad)));
    }
    KeptTraces.assertMatches("net-http", printed.toString());
  }

  @Test
  void engineResponsesReadTheSameHoweverTheyAreSplit() {
    StringBuilder printed =
        new StringBuilder(
            readAnyhow(
                WireTest::engine,
                bytes(
                    """
                    9b ok count=2 6\r
                    a\tb\tc
                    \r
                    0 yes - 0\r
                    \r
                    9b batch pos=1,novel=x 0\r
                    \r
                    7c progress tell=frac,reading=0.45 0\r
                    \r
                    7c progress - 0\r
                    \r
                    7c refused - 0\r
                    \r
                    """)));
    for (String bad :
        List.of(
            "9b ok count=1 3\r\nabcd\r\n",
            "9b ok\r\n",
            "9b hello - 0\r\n\r\n",
            "9b ok count=x 0\r\n\r\n",
            "9b ok count 0\r\n\r\n",
            "9b ok - 0\n\n",
            "9b ok - 99999\r\n",
            "9b ok - -1\r\n",
            "a".repeat(2000))) {
      String shown = bad.length() > 90 ? bad.substring(0, 60) + "..." : bad;
      printed
          .append(shown.replace("\r", "").replace("\n", "|"))
          .append(" -> ")
          .append(read(WireTest::engine, bytes(bad)));
    }
    printed.append(
        text(
            ResultEncoder.answer(
                new byte[][] {bytes("a\t1\tq\"\\\u0002\nb\t\tz\n"), {}, bytes("c\t2\té\n")})));
    KeptTraces.assertMatches("net-engine", printed.append('\n').toString());
  }

  @Test
  void statementsBelongToTheGroupOfTheirTables() {
    StringBuilder printed = new StringBuilder();
    for (String statement :
        List.of(
            "SELECT day FROM sales_17.orders WHERE tag = 'x_3.y' GROUP BY day",
            "select * from staging.t_4 join /* a_5.b */ \"sales_6\".\"t\" on 1=1 -- b_7.c",
            "INSERT INTO sales_8.t SELECT * FROM staging.u",
            "SELECT o_9.day FROM sales_10.orders o_9",
            "UPDATE cat.sales_11.t SET a = 'it''s x_1.y'",
            "COPY staging_3.t TO sales_12.u",
            "SELECT a FROM b, sales_13.c",
            "SELECT 1.5 FROM t_2",
            "SELECT 'open FROM sales_14.t")) {
      printed
          .append(StatementTableScanner.tableGroup(statement))
          .append("  ")
          .append(statement)
          .append('\n');
    }
    KeptTraces.assertMatches("net-statement", printed.toString());
  }

  @Test
  void discoveryAnswersAreReadAndMalformedOnesRefused() {
    byte[] message =
        DiscoveryAnswers.of(
            77,
            41,
            "s-1 ready 127.0.0.1:5050 east std 2 0",
            "s-2 draining 127.0.0.2:5051 west big 3 1700000000123");
    StringBuilder printed = new StringBuilder("index " + Dns.answer(message, 77).index() + "\n");
    for (EndpointEntry entry : Dns.answer(message, 77).entries()) {
      printed.append(entry).append('\n');
    }
    for (int end = 0; end < message.length; end++) {
      byte[] shorter = Arrays.copyOf(message, end);
      assertThrows(IllegalArgumentException.class, () -> Dns.answer(shorter, 77), "cut at " + end);
    }
    byte[] loop = message.clone();
    loop[12] = (byte) 0xc0;
    loop[13] = 12;
    byte[] truncated = message.clone();
    truncated[2] |= 2;
    EndpointWatchEvent part = Dns.answer(Arrays.copyOf(truncated, message.length - 50), 77);
    printed.append("truncated behind the first address: ").append(part).append('\n');
    byte[] refused = message.clone();
    refused[3] |= 5;
    Map<String, byte[]> bad =
        new TreeMap<>(Map.of("loop", loop, "refused", refused, "query", Dns.query(77)));
    bad.forEach(
        (what, bytes) ->
            printed
                .append(what)
                .append(": ")
                .append(
                    assertThrows(IllegalArgumentException.class, () -> Dns.answer(bytes, 77))
                        .getMessage())
                .append('\n'));
    printed
        .append("foreign: ")
        .append(
            assertThrows(IllegalArgumentException.class, () -> Dns.answer(message, 78))
                .getMessage());
    KeptTraces.assertMatches("net-dns", printed.append('\n').toString());
  }

  /**
   * Guards large fleets: names past the reach of a pointer are read, and where an answer did not
   * hold all, what it tells is taken for a part, cut wherever it may be.
   */
  @Test
  void discoveryAnswersOfLargeFleetsAreReadWholeOrInPart() {
    String[] engines =
        IntStream.range(0, 1024)
            .mapToObj(
                i ->
                    "s-"
                        + (10_000 + i)
                        + (i % 3 == 0 ? " draining " : " ready ")
                        + "127.0."
                        + i / 250
                        + "."
                        + (1 + i % 250)
                        + ":5050 east std 1 0")
            .toArray(String[]::new);
    byte[] message = DiscoveryAnswers.of(9, 7, engines);
    assertEquals(1024, Dns.answer(message, 9).entries().size());
    assertEquals("127.0.4.24", Dns.answer(message, 9).entries().get(1023).address());
    message[2] |= 2;
    int readable = 0;
    for (int end = 0;
        end <= message.length;
        end += end < 30_000 ? 211 : end < message.length - 2000 ? 71 : 1) {
      byte[] shorter = Arrays.copyOf(message, end);
      try {
        EndpointWatchEvent update = Dns.answer(shorter, 9);
        assertTrue(update.partial() && !update.whole());
        assertEquals(
            341 + 1,
            update.entries().stream().filter(e -> e.standing() == Status.DRAINING).count());
        readable++;
      } catch (IllegalArgumentException e) {
        assertTrue(e.getMessage() != null);
      }
    }
    assertTrue(readable > 40, "at the ends of records: " + readable);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
