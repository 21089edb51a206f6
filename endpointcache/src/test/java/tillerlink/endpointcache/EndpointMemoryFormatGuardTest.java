package tillerlink.endpointcache;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.store.DurableTable;
import tillerlink.store.FileSystemDirectory;

/**
 * Guards the stored format of the cached endpoint list against accidental changes: the keys, the
 * order of the fields and the stored name of each status, which was originally the name of the enum
 * constant. The resource was written by the release before the code's identifiers were renamed,
 * contains an endpoint of each status, and must not be regenerated. The stored names below must not
 * change even if the constants are renamed. Since a single list is received and no value is written
 * twice, the segment is always the same, so that whole files are compared.
 */
class EndpointMemoryFormatGuardTest {
  private static final String GATEWAY = "gateway-a";
  private static final String SEGMENT = "log-0000000000000001";
  private static final long LONGEST_DEADLINE = 20_000;
  private static final long RECEIVED_AT = 17_000_000_000_000L;
  private static final long MAX_AGE = 864_000_000;
  private static final Map<String, String> STORED =
      Map.of(
          "engine/drains",
          "engine-2.example\t65535\twest\tbig\t7\tDRAINING\t0.25\t1699990000123\t0\t1",
          "engine/leaves",
          "10.0.0.3\t5053\t\tstd\t-1\tGONE\t1.0E-5\t0\t1700000000000\t1",
          "engine/serves",
          "127.0.0.1\t5051\teast\tstd\t0\tREADY\t1.0\t0\t0\t1",
          "list",
          "1700000000000\t0.0");

  @TempDir private Path folder;

  private static byte[] resource() throws IOException {
    String path = "/guards/blind/" + SEGMENT + ".bin";
    try (InputStream in = EndpointMemoryFormatGuardTest.class.getResourceAsStream(path)) {
      assertNotNull(in, path);
      return in.readAllBytes();
    }
  }

  private void copyResource() throws IOException {
    Files.createDirectories(folder.resolve(GATEWAY));
    Files.write(folder.resolve(GATEWAY).resolve(SEGMENT), resource());
  }

  private EndpointCache open() {
    InetSocketAddress anyAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Map<String, Object> settings =
        Map.of("profiles", List.of(Map.of("hard_limit", LONGEST_DEADLINE)));
    GatewayConfig config =
        new GatewayConfig(GATEWAY, anyAddress, anyAddress, 7, 1024, settings, List.of());
    return PersistentEndpointCache.open(folder, config, MAX_AGE, 1 << 20);
  }

  private static EndpointEntry readyEndpoint() {
    return new EndpointEntry("serves", "127.0.0.1", 5051, "east", "std", 0, Status.READY, 1, 0);
  }

  private static EndpointEntry drainingEndpoint() {
    return new EndpointEntry(
        "drains",
        "engine-2.example",
        65535,
        "west",
        "big",
        7,
        Status.DRAINING,
        0.25,
        1_699_990_000_123L);
  }

  private static EndpointEntry goneEndpoint() {
    return new EndpointEntry("leaves", "10.0.0.3", 5053, "", "std", -1, Status.GONE, 0.00001, 0);
  }

  private static Map<String, String> inText(NavigableMap<String, byte[]> values) {
    Map<String, String> texts = new TreeMap<>();
    values.forEach((key, value) -> texts.put(key, new String(value, StandardCharsets.UTF_8)));
    return texts;
  }

  /**
   * Returns the entries of the resource, read by the store alone with the owner derived from this
   * gateway's name.
   */
  private NavigableMap<String, byte[]> storedValues() throws IOException {
    copyResource();
    try (DurableTable table =
        new DurableTable(
            new FileSystemDirectory(folder.resolve(GATEWAY)),
            PersistentEndpointCache.owner(GATEWAY),
            1 << 20,
            1 << 20)) {
      assertEquals("WHOLE", table.open().state().name());
      return new TreeMap<>(table.values());
    }
  }

  @Test
  void storedKeysAndValuesAreUnchanged() throws IOException {
    assertEquals(new TreeMap<>(STORED), inText(storedValues()));
  }

  @Test
  void eachStatusIsDecodedFromItsStoredName() throws IOException {
    NavigableMap<String, byte[]> values = storedValues();
    assertEquals(
        new CachedEndpoint(readyEndpoint(), 0),
        CachedEndpoint.decode("serves", values.get("engine/serves")));
    assertEquals(
        new CachedEndpoint(drainingEndpoint(), 0),
        CachedEndpoint.decode("drains", values.get("engine/drains")));
    assertEquals(
        new CachedEndpoint(goneEndpoint(), 1_700_000_000_000L),
        CachedEndpoint.decode("leaves", values.get("engine/leaves")));
    Set<Status> statuses = EnumSet.noneOf(Status.class);
    for (String id : List.of("serves", "drains", "leaves")) {
      statuses.add(CachedEndpoint.decode(id, values.get("engine/" + id)).entry().standing());
    }
    assertEquals(EnumSet.allOf(Status.class), statuses, "statuses in the resource");
  }

  @Test
  void eachStatusIsEncodedAsItsStoredName() {
    assertEquals(STORED.get("engine/serves"), encodedText(new CachedEndpoint(readyEndpoint(), 0)));
    assertEquals(
        STORED.get("engine/drains"), encodedText(new CachedEndpoint(drainingEndpoint(), 0)));
    assertEquals(
        STORED.get("engine/leaves"),
        encodedText(new CachedEndpoint(goneEndpoint(), 1_700_000_000_000L)));
  }

  private static String encodedText(CachedEndpoint endpoint) {
    return new String(endpoint.encode(), StandardCharsets.UTF_8);
  }

  @Test
  void gatewayStartsFromTheListOfThePreviousRelease() throws IOException {
    copyResource();
    EndpointCache.CachedList cached = open().loadAtStart(RECEIVED_AT + 10_000);
    assertEquals(
        new EndpointWatchEvent(0, true, List.of(drainingEndpoint(), readyEndpoint())),
        cached.engines());
    assertEquals(Set.of("drains", "serves"), cached.trust().keySet());
  }

  @Test
  void sameListProducesTheSameSegment() throws IOException, InterruptedException {
    write();
    assertArrayEquals(resource(), Files.readAllBytes(folder.resolve(GATEWAY).resolve(SEGMENT)));
  }

  /**
   * Writes the same list as in the resource and waits until it is in the file, because the store is
   * closed only at the end of the process.
   */
  private void write() throws IOException, InterruptedException {
    EndpointWatchEvent event =
        new EndpointWatchEvent(
            3, true, List.of(readyEndpoint(), drainingEndpoint(), goneEndpoint()));
    open().onEndpointsReceived(RECEIVED_AT, event);
    Path segment = folder.resolve(GATEWAY).resolve(SEGMENT);
    long deadlineNanos = System.nanoTime() + 60_000_000_000L;
    while (Files.size(segment) < resource().length) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("the list was not written within 60 s");
      }
      Thread.sleep(10);
    }
  }

  /**
   * Compares the values passed to the sink for an endpoint that a list leaves out, for the change
   * rate, and for the removal of an endpoint that has been gone for longer than the retention time.
   */
  @Test
  void valuesPassedToTheSinkAreUnchanged() {
    List<String> written = new ArrayList<>();
    EndpointHistory history =
        new EndpointHistory(
            new TreeMap<>(),
            LONGEST_DEADLINE,
            0,
            MAX_AGE,
            (key, value, endpointChanged) -> {
              String encodedText = value == null ? null : new String(value, StandardCharsets.UTF_8);
              written.add(key + " " + endpointChanged + " " + encodedText);
            });
    history.onEndpointsReceived(
        RECEIVED_AT, new EndpointWatchEvent(1, true, List.of(readyEndpoint(), drainingEndpoint())));
    history.onEndpointsReceived(
        RECEIVED_AT + LONGEST_DEADLINE, new EndpointWatchEvent(2, true, List.of(readyEndpoint())));
    history.onEndpointsReceived(
        RECEIVED_AT + LONGEST_DEADLINE + 1,
        new EndpointWatchEvent(3, true, List.of(readyEndpoint())));
    history.onEndpointsReceived(
        RECEIVED_AT + 2 * LONGEST_DEADLINE + 200 * LONGEST_DEADLINE,
        new EndpointWatchEvent(4, false, List.of()));
    assertEquals(
        List.of(
            "engine/drains true " + STORED.get("engine/drains"),
            "engine/serves true " + STORED.get("engine/serves"),
            "list true 1700000000000\t0.0",
            "engine/drains true engine-2.example\t65535\twest\tbig\t7\tGONE\t0.25"
                + "\t1699990000123\t1700000002000\t1",
            "list true 1700000002000\t2.5E-8",
            "engine/drains true null"),
        written.subList(0, written.size() - 1));
    // The rate has decayed exponentially, and the last digit of exp() may differ by platform.
    String lastWritten = written.get(written.size() - 1);
    assertTrue(lastWritten.matches("list true 1700000404000\t[0-9.]+E-8"), lastWritten);
  }
}
