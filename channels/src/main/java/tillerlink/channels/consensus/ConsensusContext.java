package tillerlink.channels.consensus;

import java.util.List;
import tillerlink.channels.epoch.Standings;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.channels.sync.Fetcher;
import tillerlink.channels.sync.SyncServer;

/**
 * The configuration and collaborators of consensus at one gateway.
 *
 * @param self this gateway's name
 * @param incarnation the incarnation of this process
 * @param counted the gateways that the operator's settings allow as voters
 * @param absentAfter the time without progress, in tenths of a millisecond, after which a gateway
 *     is no longer waited for
 * @param journal the events and cuts held here
 * @param store the store in which promises and cuts are persisted
 * @param transport sends messages to other gateways
 * @param server sends decided cuts to gateways that lack them
 * @param fetcher provides the latest reports of other gateways
 * @param standings the latest known standing of each gateway
 */
public record ConsensusContext(
    String self,
    long incarnation,
    List<String> counted,
    long absentAfter,
    Journal journal,
    Store store,
    ChannelTransport transport,
    SyncServer server,
    Fetcher fetcher,
    Standings standings) {
  /** Creates the context, with a copy of {@code counted}. */
  public ConsensusContext {
    counted = List.copyOf(counted);
  }
}
