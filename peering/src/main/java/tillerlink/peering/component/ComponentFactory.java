package tillerlink.peering.component;

/** Creates a component when the process starts. */
public interface ComponentFactory {
  /** Returns the component's message number; see {@link HostedComponent#number}. */
  int number();

  /**
   * Returns the name of the component's part of the store on disk.
   *
   * @return letters only, and the same in every release, since persisted keys start with it
   */
  String name();

  /**
   * Creates the component. Called once, before the first event-loop iteration.
   *
   * @throws IllegalArgumentException if the component can't run with its configuration or persisted
   *     state; the message is shown to the operator
   */
  HostedComponent create(ComponentContext context);
}
