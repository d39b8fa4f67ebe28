#include "carobflow/core/sheet.h"

#include "carobflow/core/internal/csvlines.h"
#include "carobflow/core/internal/sheetparser.h"
#include "carobflow/core/invariant.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <openssl/evp.h>

namespace Carobflow
{

namespace
{

template<typename Entry>
const Entry *findByName(const std::vector<Entry> &entries, std::string_view name)
{
    const auto found = std::ranges::find(entries, name, &Entry::name);
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

const ServiceEntry *Sheet::findService(std::string_view name) const
{
    return findByName(services, name);
}

const TeamEntry *Sheet::findTeam(std::string_view name) const
{
    return findByName(teams, name);
}

bool Sheet::isInService(std::string_view dataCentre) const
{
    const auto *entry = findByName(dataCentres, dataCentre);
    return entry == nullptr || entry->inService;
}

SheetParseResult parseSheet(std::string_view text, std::int64_t referenceUnixSeconds)
{
    SheetParser parser;
    for (const CsvLine &line : csvLines(text)) {
        parser.addLine(line);
    }
    return parser.finish(referenceUnixSeconds);
}

Result<std::string> withDataCentre(std::string_view text, std::string_view dataCentre, bool inService)
{
    for (const CsvLine &line : csvLines(text)) {
        const CsvFields split = csvFields(line.text);
        if (split.fields.size() < 3 || split.fields[0].value != "datacentre" || split.fields[1].value != dataCentre) {
            continue;
        }
        const CsvField &state = split.fields[2];
        const std::string_view wanted = inService ? "in" : "out";
        std::string changed(text);
        if (state.value != wanted) {
            changed.replace(line.offset + state.offset, state.length, wanted);
        }
        return changed;
    }
    return Error{.kind = ErrorKind::NotFound,
                 .message = "the sheet does not list the data centre '" + std::string(dataCentre)
                     + "'; write a name of its datacentre lines"};
}

std::string sheetDigest(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    const bool done = EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) == 1;
    requireInvariant(done, "sheet-digest-available");
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + size, std::back_inserter(hex));
    return hex;
}

} // namespace Carobflow
