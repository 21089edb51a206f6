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
 * Guards how the remembered list of endpoints is stored: the names, the fields in their order, and
 * the word that stands for each standing, which is the name of a constant. The resource was written
 * by the release before the renaming, with an endpoint of each standing, and is never written anew.
 * The words below must stay as they are, however the constants are called. Since one list is told
 * and nothing is told twice, the log is the same each time and is compared whole.
 */
class EndpointMemoryFormatGuardTest {
  private static final String GATEWAY = "gateway-a";
  private static final String LOG = "log-0000000000000001";
  private static final long LONGEST = 20_000;
  private static final long TOLD_AT = 17_000_000_000_000L;
  private static final long AGE_MOST = 864_000_000;
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
    String path = "/guards/blind/" + LOG + ".bin";
    try (InputStream in = EndpointMemoryFormatGuardTest.class.getResourceAsStream(path)) {
      assertNotNull(in, path);
      return in.readAllBytes();
    }
  }

  private void copy() throws IOException {
    Files.createDirectories(folder.resolve(GATEWAY));
    Files.write(folder.resolve(GATEWAY).resolve(LOG), resource());
  }

  private EndpointCache open() {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Map<String, Object> terms = Map.of("profiles", List.of(Map.of("hard_limit", LONGEST)));
    GatewayConfig assignment = new GatewayConfig(GATEWAY, any, any, 7, 1024, terms, List.of());
    return PersistentEndpointCache.open(folder, assignment, AGE_MOST, 1 << 20);
  }

  private static EndpointEntry serves() {
    return new EndpointEntry("serves", "127.0.0.1", 5051, "east", "std", 0, Status.READY, 1, 0);
  }

  private static EndpointEntry drains() {
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

  private static EndpointEntry leaves() {
    return new EndpointEntry("leaves", "10.0.0.3", 5053, "", "std", -1, Status.GONE, 0.00001, 0);
  }

  private static Map<String, String> asTexts(NavigableMap<String, byte[]> values) {
    Map<String, String> all = new TreeMap<>();
    values.forEach((key, value) -> all.put(key, new String(value, StandardCharsets.UTF_8)));
    return all;
  }

  /** Opened by the store alone, with the owner that this gateway's name gives. */
  private NavigableMap<String, byte[]> stored() throws IOException {
    copy();
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
  void theStoreHoldsTheseNamesAndTexts() throws IOException {
    assertEquals(new TreeMap<>(STORED), asTexts(stored()));
  }

  @Test
  void eachStandingIsReadFromItsWord() throws IOException {
    NavigableMap<String, byte[]> values = stored();
    assertEquals(
        new CachedEndpoint(serves(), 0),
        CachedEndpoint.decoded("serves", values.get("engine/serves")));
    assertEquals(
        new CachedEndpoint(drains(), 0),
        CachedEndpoint.decoded("drains", values.get("engine/drains")));
    assertEquals(
        new CachedEndpoint(leaves(), 1_700_000_000_000L),
        CachedEndpoint.decoded("leaves", values.get("engine/leaves")));
    Set<Status> read = EnumSet.noneOf(Status.class);
    for (String id : List.of("serves", "drains", "leaves")) {
      read.add(CachedEndpoint.decoded(id, values.get("engine/" + id)).entry().standing());
    }
    assertEquals(EnumSet.allOf(Status.class), read, "one standing is not guarded");
  }

  @Test
  void eachStandingIsWrittenAsItsWord() {
    assertEquals(STORED.get("engine/serves"), text(new CachedEndpoint(serves(), 0)));
    assertEquals(STORED.get("engine/drains"), text(new CachedEndpoint(drains(), 0)));
    assertEquals(
        STORED.get("engine/leaves"), text(new CachedEndpoint(leaves(), 1_700_000_000_000L)));
  }

  private static String text(CachedEndpoint seen) {
    return new String(seen.encoded(), StandardCharsets.UTF_8);
  }

  @Test
  void aGatewayStartsFromTheListOfTheReleaseBefore() throws IOException {
    copy();
    EndpointCache.CachedList remembered = open().loadAtStart(TOLD_AT + 10_000);
    assertEquals(
        new EndpointWatchEvent(0, true, List.of(drains(), serves())), remembered.engines());
    assertEquals(Set.of("drains", "serves"), remembered.trust().keySet());
  }

  @Test
  void theSameListGivesTheSameLog() throws IOException, InterruptedException {
    write();
    assertArrayEquals(resource(), Files.readAllBytes(folder.resolve(GATEWAY).resolve(LOG)));
  }

  /** Writes what the resource holds; only the end of the process closes the store. */
  private void write() throws IOException, InterruptedException {
    EndpointWatchEvent news =
        new EndpointWatchEvent(3, true, List.of(serves(), drains(), leaves()));
    open().onEndpointsReceived(TOLD_AT, news);
    Path log = folder.resolve(GATEWAY).resolve(LOG);
    long until = System.nanoTime() + 60_000_000_000L;
    while (Files.size(log) < resource().length) {
      if (System.nanoTime() > until) {
        throw new AssertionError("the list was not written");
      }
      Thread.sleep(10);
    }
  }

  /** An endpoint that the list leaves out, the rate of change, and one long gone. */
  @Test
  void whatIsHandedToTheStoreIsThis() {
    List<String> handed = new ArrayList<>();
    EndpointHistory memory =
        new EndpointHistory(
            new TreeMap<>(),
            LONGEST,
            0,
            AGE_MOST,
            (key, value, soon) -> {
              String text = value == null ? null : new String(value, StandardCharsets.UTF_8);
              handed.add(key + " " + soon + " " + text);
            });
    memory.onEndpointsReceived(
        TOLD_AT, new EndpointWatchEvent(1, true, List.of(serves(), drains())));
    memory.onEndpointsReceived(
        TOLD_AT + LONGEST, new EndpointWatchEvent(2, true, List.of(serves())));
    memory.onEndpointsReceived(
        TOLD_AT + LONGEST + 1, new EndpointWatchEvent(3, true, List.of(serves())));
    memory.onEndpointsReceived(
        TOLD_AT + 2 * LONGEST + 200 * LONGEST, new EndpointWatchEvent(4, false, List.of()));
    assertEquals(
        List.of(
            "engine/drains true " + STORED.get("engine/drains"),
            "engine/serves true " + STORED.get("engine/serves"),
            "list true 1700000000000\t0.0",
            "engine/drains true engine-2.example\t65535\twest\tbig\t7\tGONE\t0.25"
                + "\t1699990000123\t1700000002000\t1",
            "list true 1700000002000\t2.5E-8",
            "engine/drains true null"),
        handed.subList(0, handed.size() - 1));
    // The rate has faded by an exponential, whose last digit need not be the same everywhere.
    String last = handed.get(handed.size() - 1);
    assertTrue(last.matches("list true 1700000404000\t[0-9.]+E-8"), last);
  }
}
