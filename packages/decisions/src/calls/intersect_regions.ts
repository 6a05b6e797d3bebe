/**
 * Regions in which the data of a call may be, where its route and its workspace each allow some.
 *
 * @returns undefined if neither bounds them; an empty list if no region is allowed by both
 */
export function intersectRegions(
  ofRoute: readonly string[] | undefined,
  ofWorkspace: readonly string[] | undefined,
): readonly string[] | undefined {
  if (!ofRoute) return ofWorkspace;
  if (!ofWorkspace) return ofRoute;
  return ofRoute.filter(region => ofWorkspace.includes(region));
}
