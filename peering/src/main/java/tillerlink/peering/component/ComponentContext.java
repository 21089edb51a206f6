package tillerlink.peering.component;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.net.state.GatewayExtension;

/**
 * The services and settings that the hosting process provides to a component. All of them are used
 * by the event loop's thread only.
 *
 * @param self the name of this gateway
 * @param site the name of this gateway's site
 * @param membership the view of the fleet's members
 * @param sender sends messages to the component of the same number at other gateways
 * @param store the component's own part of the store on disk
 * @param random the component's own seeded generator
 * @param gateway accepts requests; may be used from the first event-loop iteration on
 * @param clock returns the current monotonic time in tenths of a millisecond at each call; it
 *     advances while the process is stopped
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
