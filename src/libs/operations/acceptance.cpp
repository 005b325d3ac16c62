#include "operations/acceptance.h"

namespace Operations {

std::optional<Model::Configuration> configurationOf(const Store::Object &object)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Model::Configuration>> {
            BOOST_LEAF_AUTO(document, Configuration::Document::parse(object.key, object.value));
            BOOST_LEAF_AUTO(configuration, Configuration::decodeConfiguration(document));
            return std::optional(std::move(configuration));
        },
        [] { return std::optional<Model::Configuration>(); });
}

} // namespace Operations
