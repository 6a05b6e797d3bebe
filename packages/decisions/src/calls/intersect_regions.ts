/**
 * Intersects the regions in which a route and a workspace each allow the data of a call to be
 * processed.
 *
 * @returns undefined if neither restricts them; an empty list if no region is allowed by both
 */
export function intersectRegions(
  ofRoute: readonly string[] | undefined,
  ofWorkspace: readonly string[] | undefined,
): readonly string[] | undefined {
  if (!ofRoute) return ofWorkspace;
  if (!ofWorkspace) return ofRoute;
  return ofRoute.filter(region => ofWorkspace.includes(region));
}
