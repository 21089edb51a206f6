package tillerlink.peering.component;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.net.state.GatewayExtension;

/**
 * What a part stands on in a process.
 *
 * @param self the own name
 * @param site the own site
 * @param post its messages go to the part of the same number
 * @param keep its own share of the disk
 * @param random seeded, its own
 * @param door requests; may be used from the first turn on
 * @param clock tenths of a millisecond, read anew each time; it goes on while the process is
 *     stopped
 */
public record ComponentContext(
    String self,
    String site,
    MembershipView roster,
    MessageSender post,
    KeyValueStore keep,
    RandomGenerator random,
    GatewayExtension.ExtensionContext door,
    LongSupplier clock) {}
