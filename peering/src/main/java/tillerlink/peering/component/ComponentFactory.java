package tillerlink.peering.component;

/** Makes a component when the process starts. */
public interface ComponentFactory {
  /** The number of its messages; see {@link HostedComponent#number}. */
  int number();

  /** Names its part of the store on disk; letters only, and the same in every release. */
  String name();

  /**
   * Creates the component; called once, before the first event-loop iteration.
   *
   * @throws IllegalArgumentException in words for the operator, if it can't run as it is configured
   */
  HostedComponent create(ComponentContext context);
}
