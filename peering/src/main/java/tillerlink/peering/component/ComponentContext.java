package tillerlink.peering.component;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.net.state.GatewayExtension;

/**
 * What a component is given of the process that hosts it. All of it belongs to the event loop's
 * thread.
 *
 * @param self the name of this gateway
 * @param site the site of this gateway
 * @param membership the members of the fleet
 * @param sender sends to the component of the same number at other gateways
 * @param store its own part of the store on disk
 * @param random its own generator, seeded
 * @param gateway takes requests; may be used from the first event-loop iteration on
 * @param clock tenths of a millisecond, read anew each time; it goes on while the process is
 *     stopped
 */
public record ComponentContext(
    String self,
    String site,
    MembershipView membership,
    MessageSender sender,
    KeyValueStore store,
    RandomGenerator random,
    GatewayExtension.ExtensionContext gateway,
    LongSupplier clock) {}
