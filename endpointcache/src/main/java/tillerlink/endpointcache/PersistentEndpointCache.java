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
 * A factory for the endpoint cache of a gateway, which is persisted in a directory per gateway. If
 * the store cannot be used, the gateway still starts: the cache is then empty and persists nothing.
 */
public final class PersistentEndpointCache {
  private static final Logger LOG = LoggerFactory.getLogger(PersistentEndpointCache.class);
  private static final long MAX_SEGMENT_BYTES = 1 << 20;
  private static final int MAX_QUEUED_KEYS = 20_000;
  private static final long GROUP_DELAY_MS = 100;
  private static final long LAZY_DELAY_MS = 5000;

  /** Distinguishes the store of the endpoint cache from other stores of the same gateway. */
  private static final long OWNER_KIND = 1;

  private PersistentEndpointCache() {}

  /**
   * Opens the cache. The cache owns its writer thread; a shutdown hook ends the thread and closes
   * the store.
   *
   * @param parent the directory that contains a directory for each gateway, named after it
   * @param config supplies the gateway's name, the deadlines of the request classes and the warm-up
   *     time
   * @param maxAge the age in tenths of a millisecond beyond which a cached list is not used
   * @param maxBytes the maximum size of the persisted entries
   */
  public static EndpointCache open(Path parent, GatewayConfig config, long maxAge, long maxBytes) {
    Settings settings = new Settings(FlattenedConfig.of(config.settings()));
    long longestDeadline = 1;
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      longestDeadline =
          Math.max(longestDeadline, settings.number("profiles." + i + ".hard_limit", 1));
    }
    long warmupTime = settings.number("guarantees.warm_within", 0);
    Optional<DurableTable> openedTable = openTable(parent, config.name(), maxBytes);
    if (openedTable.isEmpty()) {
      return new EndpointHistory(
          new TreeMap<>(),
          longestDeadline,
          warmupTime,
          maxAge,
          (key, value, endpointChanged) -> {});
    }
    DurableTable table = openedTable.get();
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
        (key, value, endpointChanged) ->
            writer.set(key, value, endpointChanged ? Durability.GROUPED : Durability.LAZY, null));
  }

  /**
   * Opens the table of a gateway and logs all problems found.
   *
   * @return the table, or empty if the store cannot be used
   */
  private static Optional<DurableTable> openTable(Path parent, String gateway, long maxBytes) {
    try {
      DurableTable table =
          new DurableTable(
              new FileSystemDirectory(parent.resolve(gateway)),
              owner(gateway),
              MAX_SEGMENT_BYTES,
              maxBytes);
      RecoveryReport report = table.open();
      report
          .told()
          .forEach(message -> LOG.atWarn().addKeyValue("store", report.state()).log(message));
      return report.usable() ? Optional.of(table) : Optional.empty();
    } catch (IOException e) {
      LOG.warn(
          "cannot open the endpoint cache's store; endpoints are not persisted: {}", e.toString());
      return Optional.empty();
    }
  }

  /**
   * Returns the identifier of the owner of a gateway's store. It is derived from the gateway's
   * name, so that a store copied from another gateway is rejected.
   */
  public static long owner(String gateway) {
    CRC32C crc = new CRC32C();
    crc.update(gateway.getBytes(StandardCharsets.UTF_8));
    return crc.getValue() << 8 | OWNER_KIND;
  }

  private static void close(AsyncTableWriter writer) {
    try {
      writer.close();
    } catch (IOException e) {
      LOG.warn("failed to close the endpoint cache's store: {}", e.toString());
    }
  }
}
