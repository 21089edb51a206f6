package tillerlink.endpointcache;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.model.Settings;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.FlattenedConfig;
import tillerlink.store.AsyncTableWriter;
import tillerlink.store.AsyncTableWriter.Durability;
import tillerlink.store.DurableTable;
import tillerlink.store.FileSystemDirectory;
import tillerlink.store.RecoveryReport;

/**
 * Opens the endpoint cache of a gateway in a directory of its own. A store that can't be used costs
 * the cache, not the gateway: it then starts empty and persists nothing.
 */
public final class PersistentEndpointCache {
  private static final Logger LOG = LoggerFactory.getLogger(PersistentEndpointCache.class);
  private static final long MAX_SEGMENT_BYTES = 1 << 20;
  private static final int MAX_QUEUED_KEYS = 20_000;
  private static final long GROUP_DELAY_MS = 100;
  private static final long LAZY_DELAY_MS = 5000;

  /** Tells the store of the endpoint cache from others of the same gateway. */
  private static final long OWNER_KIND = 1;

  private PersistentEndpointCache() {}

  /**
   * Opens the cache. Its writer thread belongs to the cache and ends, with the store, at the end of
   * the process.
   *
   * @param parent the directory in which each gateway has one of its name
   * @param maxAge tenths of a millisecond from which on a list is not used at all
   * @param maxBytes bound of what is persisted
   */
  public static EndpointCache open(Path parent, GatewayConfig config, long maxAge, long maxBytes) {
    Settings settings = new Settings(FlattenedConfig.of(config.settings()));
    long longestDeadline = 1;
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      longestDeadline =
          Math.max(longestDeadline, settings.number("profiles." + i + ".hard_limit", 1));
    }
    long warmupTime = settings.number("guarantees.warm_within", 0);
    Optional<DurableTable> opened = openTable(parent, config.name(), maxBytes);
    if (opened.isEmpty()) {
      return new EndpointHistory(
          new TreeMap<>(), longestDeadline, warmupTime, maxAge, (key, value, soon) -> {});
    }
    DurableTable table = opened.get();
    TreeMap<String, byte[]> stored = new TreeMap<>(table.values());
    AsyncTableWriter writer =
        new AsyncTableWriter(table, MAX_QUEUED_KEYS, GROUP_DELAY_MS, LAZY_DELAY_MS);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> close(writer), "endpoint-cache-shutdown"));
    return new EndpointHistory(
        stored,
        longestDeadline,
        warmupTime,
        maxAge,
        (key, value, soon) ->
            writer.set(key, value, soon ? Durability.GROUPED : Durability.LAZY, null));
  }

  /** Empty if the store can't be used; the log says why. */
  private static Optional<DurableTable> openTable(Path parent, String gateway, long maxBytes) {
    try {
      DurableTable table =
          new DurableTable(
              new FileSystemDirectory(parent.resolve(gateway)),
              owner(gateway),
              MAX_SEGMENT_BYTES,
              maxBytes);
      RecoveryReport report = table.open();
      report.told().forEach(line -> LOG.atWarn().addKeyValue("store", report.state()).log(line));
      return report.usable() ? Optional.of(table) : Optional.empty();
    } catch (IOException e) {
      LOG.warn("the store can't be opened, endpoints are not persisted: {}", e.toString());
      return Optional.empty();
    }
  }

  /** The owner of a gateway's store; a store copied from another gateway is refused by it. */
  public static long owner(String gateway) {
    CRC32C crc = new CRC32C();
    crc.update(gateway.getBytes(StandardCharsets.UTF_8));
    return crc.getValue() << 8 | OWNER_KIND;
  }

  private static void close(AsyncTableWriter writer) {
    try {
      writer.close();
    } catch (IOException e) {
      LOG.warn("the store was not closed: {}", e.toString());
    }
  }
}
