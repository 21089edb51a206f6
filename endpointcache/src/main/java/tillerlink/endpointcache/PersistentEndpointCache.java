package tillerlink.endpointcache;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.model.Settings;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.FlattenedConfig;
import tillerlink.store.AsyncTableWriter;
import tillerlink.store.DurableTable;
import tillerlink.store.FileSystemDirectory;
import tillerlink.store.RecoveryReport;

/**
 * Opens what one gateway remembers, in a folder of its own. Whatever the disk does, the gateway
 * serves.
 */
public final class PersistentEndpointCache {
  private static final Logger LOG = LoggerFactory.getLogger(PersistentEndpointCache.class);
  private static final long SEGMENT_MOST = 1 << 20;
  private static final int WAITING_MOST = 20_000;
  private static final long GROUP_MS = 100;
  private static final long LAZY_MS = 5000;

  private PersistentEndpointCache() {}

  /**
   * @param within the folder under which each gateway has its own, by its name
   * @param ageMost tenths of a millisecond from which on a list is not trusted at all
   * @param maxBytes how much may be kept
   */
  public static EndpointCache open(
      Path within, GatewayConfig assignment, long ageMost, long maxBytes) {
    Settings terms = new Settings(FlattenedConfig.of(assignment.terms()));
    long longest = 1;
    for (int i = 0; i < terms.number("profiles", 0); i++) {
      longest = Math.max(longest, terms.number("profiles." + i + ".hard_limit", 1));
    }
    long warm = terms.number("guarantees.warm_within", 0);
    try {
      DurableTable table =
          new DurableTable(
              new FileSystemDirectory(within.resolve(assignment.name())),
              owner(assignment.name()),
              SEGMENT_MOST,
              maxBytes);
      RecoveryReport found = table.open();
      found.told().forEach(line -> LOG.atWarn().addKeyValue("store", found.state()).log(line));
      if (found.usable()) {
        AsyncTableWriter keeper = new AsyncTableWriter(table, WAITING_MOST, GROUP_MS, LAZY_MS);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(keeper), "keep"));
        return new EndpointHistory(
            new TreeMap<>(table.values()),
            longest,
            warm,
            ageMost,
            (key, value, soon) ->
                keeper.set(
                    key,
                    value,
                    soon ? AsyncTableWriter.Durability.GROUPED : AsyncTableWriter.Durability.LAZY,
                    null));
      }
    } catch (IOException e) {
      LOG.warn("the store can't be opened, nothing is remembered: {}", e.toString());
    }
    return new EndpointHistory(new TreeMap<>(), longest, warm, ageMost, (key, value, soon) -> {});
  }

  /** Whose store it is, so that one copied from another gateway is not taken for ours. */
  public static long owner(String name) {
    CRC32C crc = new CRC32C();
    crc.update(name.getBytes(StandardCharsets.UTF_8));
    return crc.getValue() << 8 | 1;
  }

  private static void close(AsyncTableWriter keeper) {
    try {
      keeper.close();
    } catch (IOException e) {
      LOG.warn("the store was not closed: {}", e.toString());
    }
  }
}
